/** @file store_client_base.hpp Calls the platform's store from fibers. */
#pragma once

#include "gateway/event_log_base.hpp"
#include "gateway/gateway_metrics_base.hpp"
#include "gateway/gateway_settings_type.hpp"
#include "platform/platform_store_func.hpp"
#include "web/http_client_base.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

namespace rosemarydeck
{

/** An answer of the store, before it is decoded. */
struct store_reply
{
    unsigned status = 0;
    std::string body;
};

/**
 * One VM's way to the store. While the store doesn't answer, one caller at a
 * time tries it and the others wait, so that an outage costs few calls.
 */
class store_client
{
public:
    store_client(boost::asio::io_context& io, const endpoint& store,
                 event_log& log, gateway_metrics& metrics);

    /**
     * Suspends the fiber until the store seems up, or it is this fiber's turn
     * to try it. A call made while the result owns its lock must not let the
     * store hold the answer back.
     */
    std::unique_lock<boost::fibers::mutex> await_turn();
    /**
     * Makes a call; suspends the fiber.
     * @param wait How long the store may hold the answer back.
     * @return The answer, of any status; unavailable if none came, with
     *         whether the call may have been done.
     */
    tl::expected<store_reply, http_failure>
    call(const platform::store_call& call, std::chrono::milliseconds wait = {});

    /** @return When the last outage ended; none if there was none. */
    [[nodiscard]] std::optional<time_point> recovered() const
    {
        return recovered_;
    }
    /** @return True while the last call went unanswered. */
    [[nodiscard]] bool down() const { return down_; }

private:
    void note(bool answered, const std::string& why);

    boost::asio::io_context& io_;
    endpoint store_;
    event_log& log_;
    gateway_metrics& metrics_;
    http_client client_;
    runtime_clock clock_;
    boost::fibers::mutex trying_;
    bool down_ = false;
    std::uint32_t failures_ = 0;
    std::optional<time_point> recovered_;
    time_point lost_at_{};
};

} // namespace rosemarydeck
