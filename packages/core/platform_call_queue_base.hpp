/** @file platform_call_queue_base.hpp All calls of one VM to the platform. */
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

/** A renewal of a customer's grant. */
struct renewal_purpose
{
    customer_id customer;
};

/** A batch of bills. */
struct bills_purpose
{
};

/** The claim of a request that may not be repeated. */
struct claim_purpose
{
    request_id id;
};

/** The adoption of a lost holder's grant. */
struct adoption_purpose
{
    instance_id lost;
    customer_id customer;
};

/** The watch on the configuration. */
struct config_purpose
{
};

/** What a platform call is for. */
using call_purpose = std::variant<claim_purpose, bills_purpose, renewal_purpose,
                                  adoption_purpose, config_purpose>;

/**
 * Sends calls in order of importance: claims, then bills, then grants. Only
 * a bounded number is in flight; the watch does not count.
 */
class platform_call_queue
{
public:
    /** Queues a call. @param purpose Who gets the answer. */
    void call(call_purpose purpose, platform_request request);
    /** @return The purpose of an answered call, or none if it is unknown. */
    std::optional<call_purpose> answered(call_id call);
    /** @return Calls that may be sent now. */
    std::vector<call_platform> take_ready();

private:
    struct queued_call
    {
        call_purpose purpose;
        platform_request request;
    };
    static constexpr std::size_t class_count = 3;

    std::array<std::deque<queued_call>, class_count> queues_;
    std::map<call_id, call_purpose> in_flight_;
    std::size_t counted_in_flight_ = 0;
    std::uint64_t next_call_ = 1;
};

} // namespace rosemarydeck
