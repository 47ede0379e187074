/** @file platform_call_queue_base.hpp Queue of calls to the platform. */
#pragma once

#include "core/action_type.hpp"

#include <array>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <variant>

namespace rosemarydeck
{

/** Purpose of a call that renews a customer's grant. */
struct renewal_purpose
{
    customer_id customer;
};

/** Purpose of a call that stores a batch of bills. */
struct bills_purpose
{
};

/** Purpose of a call that claims a request that may run only once. */
struct claim_purpose
{
    request_id id;
};

/** Purpose of a call that adopts a lost holder's grant. */
struct adoption_purpose
{
    instance_id lost;
    customer_id customer; ///< Empty when the lost VM's bills are listed.
};

/** Purpose of the watch on the configuration. */
struct config_purpose
{
};

/** Purpose of a platform call; decides its priority and who is answered. */
using call_purpose = std::variant<claim_purpose, bills_purpose, renewal_purpose,
                                  adoption_purpose, config_purpose>;

/**
 * Queues calls by priority: claims and the watch first, then bills, then
 * renewals and adoptions. The number of calls in flight is bounded; the
 * watch, which waits at the platform, does not count.
 */
class platform_call_queue
{
public:
    /** Queues a call. @param purpose Decides priority and receiver. */
    void call(call_purpose purpose, platform_request request);
    /** Ends a call that was answered. @return Its purpose, if it is known. */
    std::optional<call_purpose> end_call(call_id call);
    /** Takes the calls that may be sent now. @return Those calls. */
    std::vector<call_platform> take_ready();

private:
    struct queued_call
    {
        call_purpose purpose;
        platform_request request;
    };
    static constexpr std::size_t queue_count = 3;

    std::array<std::deque<queued_call>, queue_count> queues_;
    std::map<call_id, call_purpose> in_flight_;
    std::size_t counted_in_flight_ = 0; ///< Without the watch.
    std::uint64_t next_call_ = 1;
};

} // namespace rosemarydeck
