/** @file store_client_base.cpp Calls the platform's store from fibers. */
#include "gateway/store_client_base.hpp"

#include "web/fiber_scheduler_base.hpp"

#include <algorithm>

namespace rosemarydeck
{

namespace
{

/** The store answers in milliseconds, and in some hundred when it is slow. */
constexpr auto answer_limit = std::chrono::milliseconds(1'000);
constexpr auto initial_retry_backoff = std::chrono::milliseconds(150);
constexpr auto max_retry_backoff = std::chrono::milliseconds(600);

bool turned_away(unsigned status)
{
    return status == 429 || status >= 500;
}

} // namespace

store_client::store_client(boost::asio::io_context& io, const endpoint& store,
                           event_log& log, gateway_metrics& metrics)
    : io_(io), store_(store), log_(log), metrics_(metrics), client_(io)
{
}

std::unique_lock<boost::fibers::mutex> store_client::await_turn()
{
    if (!down_)
        return {};
    std::unique_lock<boost::fibers::mutex> turn(trying_);
    if (!down_)
        return {};
    const auto shift = std::min<std::uint32_t>(failures_, 3);
    fiber_sleep(io_, std::min(max_retry_backoff,
                              initial_retry_backoff * (1U << shift)));
    return turn;
}

tl::expected<store_reply, http_failure>
store_client::call(const platform::store_call& call,
                   std::chrono::milliseconds wait)
{
    http_request request;
    request.method_string(call.method);
    request.target(call.target);
    request.version(11);
    request.set(boost::beast::http::field::content_type, "application/json");
    request.body() = call.body;
    metrics_.add(counter::store_calls);
    const auto begun = clock_.now();
    auto reply = client_.call({store_.address, store_.port}, std::move(request),
                              answer_limit + wait);
    if (wait.count() == 0)
        metrics_.observe(histogram::store_call, clock_.now() - begun);
    if (!reply) {
        note(false, describe(reply.error().cause));
        return tl::unexpected(reply.error());
    }
    const auto status = reply->result_int();
    note(!turned_away(status), "status " + std::to_string(status));
    return store_reply{status, std::move(reply->body())};
}

void store_client::note(bool answered, const std::string& why)
{
    if (answered) {
        failures_ = 0;
        if (!down_)
            return;
        down_ = false;
        recovered_ = clock_.now();
        log_.write("store_regained", {{"away_ms", clock_.now() - lost_at_}});
        return;
    }
    ++failures_;
    metrics_.add(counter::store_failures);
    if (down_)
        return;
    down_ = true;
    lost_at_ = clock_.now();
    log_.write("store_lost", {{"why", why}});
}

} // namespace rosemarydeck
