/** @file store_client_base.cpp HTTP client of the platform's store. */
#include "gateway/store_client_base.hpp"

#include "web/fiber_scheduler_base.hpp"

#include <algorithm>
#include <boost/fiber/all.hpp>

namespace rosemarydeck
{

namespace
{

/** The store answers in milliseconds; when slow, in some hundred. */
constexpr auto answer_timeout = std::chrono::milliseconds(1'000);
/** Largest answer of the store. A page of a list has about 1 MiB. */
constexpr std::uint64_t max_answer_bytes = 16'777'216;
/** Pause before a probe of the store; doubled for each failure in a row. */
constexpr auto base_probe_pause = std::chrono::milliseconds(150);
/** Interval at which a fiber that waits for the store looks whether it is up.
 */
constexpr auto recovery_poll_interval = std::chrono::milliseconds(100);
/** Part of the pause that is random. */
constexpr double jitter_part = 0.25;

counter counter_of(platform::store_call_kind kind)
{
    switch (kind) {
    case platform::store_call_kind::list:
        return counter::store_lists;
    case platform::store_call_kind::watch:
        return counter::store_watches;
    case platform::store_call_kind::read:
        return counter::store_reads;
    case platform::store_call_kind::write:
        return counter::store_writes;
    }
    return counter::store_reads;
}

bool is_refusal(unsigned status)
{
    return status == 429 || status >= 500;
}

} // namespace

store_client::store_client(boost::asio::io_context& io, const endpoint& store,
                           store_probe_options probes, event_log& log,
                           gateway_metrics& metrics)
    : io_(io), store_(store), probes_(std::move(probes)), log_(log),
      metrics_(metrics), client_(io, {.max_answer_bytes = max_answer_bytes})
{
}

duration store_client::probe_pause()
{
    constexpr std::uint32_t max_doublings = 8;
    const auto doublings = std::min(consecutive_failures_, max_doublings);
    const auto longest = std::min<duration>(
        silent_ ? probes_.max_silent_pause : probes_.max_pause,
        base_probe_pause * (1U << doublings));
    std::uniform_real_distribution<double> part(1 - jitter_part, 1);
    return std::chrono::duration_cast<duration>(longest * part(jitter_));
}

void store_client::await_reachable()
{
    while (down_)
        fiber_sleep(io_, recovery_poll_interval);
}

void store_client::run_probes()
{
    while (down_) {
        const auto probe_time = clock_.now() + probe_pause();
        // A call that was under way may find the store up again.
        while (down_ && clock_.now() < probe_time)
            fiber_sleep(io_, std::min<duration>(recovery_poll_interval,
                                                probe_time - clock_.now()));
        // What refuses calls may answer cheap ones all the same.
        if (down_)
            (void)call(platform::get_call(platform::presence_kind,
                                          probes_.object, silent_));
    }
    probing_ = false;
}

tl::expected<store_reply, http_failure>
store_client::call(const platform::store_call& call,
                   std::chrono::milliseconds hold_time,
                   http_call_handle* handle)
{
    http_request request;
    request.method_string(call.method);
    request.target(call.target);
    request.version(11);
    request.set(boost::beast::http::field::content_type, "application/json");
    request.body() = call.body;
    metrics_.add(counter::store_calls);
    metrics_.add(counter_of(call.kind));
    const auto start_time = clock_.now();
    http_call_handle own_handle;
    if (handle == nullptr)
        handle = &own_handle;
    if (hold_time.count() > 0)
        watches_.insert(handle);
    auto reply = client_.call({store_.address, store_.port}, std::move(request),
                              answer_timeout + hold_time, handle);
    watches_.erase(handle);
    if (hold_time.count() == 0)
        metrics_.observe(histogram::store_call, clock_.now() - start_time);
    if (!reply && handle->cancelled())
        return tl::unexpected(reply.error());
    if (!reply) {
        record_unanswered(call, start_time, describe(reply.error().cause));
        return tl::unexpected(reply.error());
    }
    const auto status = reply->result_int();
    silent_ = false;
    record_result(!is_refusal(status),
                  "store answered with status " + std::to_string(status));
    return store_reply{status, std::move(reply->body())};
}

void store_client::record_unanswered(const platform::store_call& call,
                                     time_point start_time,
                                     const std::string& reason)
{
    silent_ = true;
    // The store has answered a call since, so only this answer is lost.
    if (!last_answer_ || *last_answer_ <= start_time)
        return record_result(false, reason);
    metrics_.add(counter::store_failures);
    log_.write("store_answer_lost",
               {{"call", call.method + " " + call.target}, {"why", reason}});
}

void store_client::restart_watches()
{
    for (auto* watch : watches_)
        watch->cancel();
}

void store_client::record_result(bool usable, const std::string& reason)
{
    if (usable) {
        consecutive_failures_ = 0;
        last_answer_ = clock_.now();
        if (!down_)
            return;
        down_ = false;
        last_recovery_ = clock_.now();
        log_.write("store_regained",
                   {{"away_ms", clock_.now() - outage_start_}});
        restart_watches();
        return;
    }
    ++consecutive_failures_;
    metrics_.add(counter::store_failures);
    if (down_)
        return;
    down_ = true;
    outage_start_ = clock_.now();
    log_.write("store_lost", {{"why", reason}});
    if (!std::exchange(probing_, true))
        boost::fibers::fiber(boost::fibers::launch::post, [this] {
            run_probes();
        }).detach();
}

} // namespace rosemarydeck
