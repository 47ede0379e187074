/** @file store_client_base.cpp HTTP client of the platform's store. */
#include "gateway/store_client_base.hpp"

#include "web/fiber_scheduler_base.hpp"

#include <algorithm>

namespace rosemarydeck
{

namespace
{

/** The store answers in milliseconds; when slow, in some hundred. */
constexpr auto answer_timeout = std::chrono::milliseconds(1'000);
/** Pause before a probe of the store: the base, doubled for each failure in a
 *  row, up to the maximum. */
constexpr auto base_probe_backoff = std::chrono::milliseconds(150);
constexpr auto max_probe_backoff = std::chrono::milliseconds(600);

bool is_refusal(unsigned status)
{
    return status == 429 || status >= 500;
}

} // namespace

store_client::store_client(boost::asio::io_context& io, const endpoint& store,
                           event_log& log, gateway_metrics& metrics)
    : io_(io), store_(store), log_(log), metrics_(metrics), client_(io)
{
}

std::unique_lock<boost::fibers::mutex> store_client::acquire_permit()
{
    if (!down_)
        return {};
    std::unique_lock<boost::fibers::mutex> permit(probe_mutex_);
    if (!down_)
        return {};
    const auto shift = std::min<std::uint32_t>(consecutive_failures_, 3);
    fiber_sleep(
        io_, std::min(max_probe_backoff, base_probe_backoff * (1U << shift)));
    return permit;
}

tl::expected<store_reply, http_failure>
store_client::call(const platform::store_call& call,
                   std::chrono::milliseconds hold_time)
{
    http_request request;
    request.method_string(call.method);
    request.target(call.target);
    request.version(11);
    request.set(boost::beast::http::field::content_type, "application/json");
    request.body() = call.body;
    metrics_.add(counter::store_calls);
    const auto start_time = clock_.now();
    auto reply = client_.call({store_.address, store_.port}, std::move(request),
                              answer_timeout + hold_time);
    if (hold_time.count() == 0)
        metrics_.observe(histogram::store_call, clock_.now() - start_time);
    if (!reply) {
        record_result(false, describe(reply.error().cause));
        return tl::unexpected(reply.error());
    }
    const auto status = reply->result_int();
    record_result(!is_refusal(status),
                  "store answered with status " + std::to_string(status));
    return store_reply{status, std::move(reply->body())};
}

void store_client::record_result(bool usable, const std::string& reason)
{
    if (usable) {
        consecutive_failures_ = 0;
        if (!down_)
            return;
        down_ = false;
        last_recovery_ = clock_.now();
        log_.write("store_regained",
                   {{"away_ms", clock_.now() - outage_start_}});
        return;
    }
    ++consecutive_failures_;
    metrics_.add(counter::store_failures);
    if (down_)
        return;
    down_ = true;
    outage_start_ = clock_.now();
    log_.write("store_lost", {{"why", reason}});
}

} // namespace rosemarydeck
