/** @file exchange_base.cpp Serves one request: admission and answers. */
#include "gateway/exchange_base.hpp"

#include "common/hash_func.hpp"
#include "gateway/header_text_func.hpp"
#include "router/crash_record_base.hpp"
#include "web/fiber_scheduler_base.hpp"

namespace rosemarydeck
{

namespace
{

namespace http = boost::beast::http;

/** Headroom asked for because of a request is there within a few store calls.
 */
constexpr auto grant_wait = milliseconds(160);
constexpr auto grant_check = milliseconds(20);
/** A later try finds a restarted engine, another VM or a new grant. */
constexpr auto soon = milliseconds(300);
/** Other VMs give back headroom with their next renewal. */
constexpr auto after_renewal = milliseconds(1'000);
/** Where much of a budget is left, the next VM probably has some of it. */
constexpr auto at_another_vm = milliseconds(100);
/** So many requests of the size make it much. */
constexpr token_count much_left = 20;
/** A request that crashes engines is forgotten after about this time. */
constexpr auto after_crashes = milliseconds(60'000);
/** Below this no engine can start, let alone answer. */
constexpr auto least_time = milliseconds(15);
/** Longest wait for a client to take an answer that is already here. */
constexpr auto answer_write_limit = milliseconds(5'000);

} // namespace

exchange::exchange(traffic_context& shared, client_stream& client,
                   const client_request& request)
    : shared_(shared), client_(client), request_(request), timer_(shared.io)
{
}

after_request exchange::run()
{
    started_ = shared_.clock.now();
    shared_.metrics.add(counter::requests);
    ++shared_.open_requests;
    head_ = platform::decode_request(request_);
    first_event_ = last_event_ = head_.resume_after.value_or(0);
    view_ = shared_.view;
    keep_ = request_.keep_alive() && !shared_.draining;
    client_.on_closed([this] { cancel_send(); });
    client_.watch();
    if (admit()) {
        timer_.expires_after(time_left());
        timer_.async_wait([this](const boost::system::error_code& stopped) {
            if (stopped)
                return;
            timed_out_ = true;
            cancel_send();
        });
        serve();
        settle();
        finish();
        timer_.cancel();
    }
    client_.on_closed({});
    --shared_.open_requests;
    // A cancelled timer's handler may still be queued and refers to this.
    fiber_sleep(shared_.io, duration{});
    return keep_ && !client_.closed() ? after_request::keep
                                      : after_request::close;
}

bool exchange::admit()
{
    if (!view_ || !view_->config) {
        refuse(503, counter::refused_no_config, "no_configuration", soon);
        return false;
    }
    config_ = view_->config;
    route_ = config_->route(head_.host, head_.target);
    if (route_ == nullptr) {
        refuse(404, counter::refused_no_route, "no_route");
        return false;
    }
    if (!authorize())
        return false;
    if (crashes_engines()) {
        refuse(503, counter::refused_crashing, "crashes_engines",
               after_crashes);
        return false;
    }
    auto limit = route_->timeout > milliseconds(0) ? route_->timeout
                                                   : milliseconds(60'000);
    if (head_.deadline)
        limit = std::min(limit, *head_.deadline);
    deadline_ = started_ + limit;
    service_ = pick_service();
    need_.service = service_;
    need_.input = head_.input_tokens;
    need_.output = head_.max_output_tokens;
    if (route_->has_prompt) {
        need_.prefix_home = head_.shared_prefix();
        need_.shared = head_.shared_tokens();
    }
    shared_.retries.record_request(service_, started_);
    return reserve();
}

bool exchange::authorize()
{
    if (!route_->needs_key || config_->config().customers.empty())
        return true;
    customer_ = config_->customer_of(head_.key);
    if (customer_ != nullptr)
        return true;
    refuse(401, counter::refused_unauthorized, "unknown_key");
    return false;
}

request_fingerprint exchange::fingerprint() const
{
    return fingerprint_of(head_.method, head_.target, head_.key,
                          request_.body());
}

bool exchange::crashes_engines() const
{
    return !view_->blocked.empty() && view_->blocked.count(fingerprint()) > 0;
}

service_id exchange::pick_service() const
{
    std::uint64_t total = 0;
    for (const auto& part : route_->backends)
        total += part.weight;
    if (total == 0)
        return route_->backends.front().service;
    auto at = stable_hash(head_.id) % total;
    for (const auto& part : route_->backends) {
        if (at < part.weight)
            return part.service;
        at -= part.weight;
    }
    return route_->backends.back().service;
}

bool exchange::reserve()
{
    if (customer_ == nullptr || !customer_->prepaid || !route_->has_prompt)
        return true;
    const auto charge = head_.max_charge();
    shared_.credit.record_demand(customer_->id, charge, started_);
    if (take_tokens(charge) || reserve_waiting())
        return true;
    if (budget_left() < charge)
        refuse(402, counter::refused_budget_spent, "budget_spent");
    else
        refuse(503, counter::refused_budget_unknown, "no_headroom",
               budget_left() > charge * much_left ? at_another_vm
                                                  : after_renewal);
    return false;
}

token_count exchange::budget_left() const
{
    return *customer_->prepaid - shared_.local_wallet.consumed(customer_->id);
}

bool exchange::take_tokens(token_count charge)
{
    from_credit_ = shared_.credit.reserve(customer_->id, charge);
    if (!from_credit_ && !shared_.local_wallet.reserve(customer_->id, charge,
                                                       shared_.clock.now()))
        return false;
    reserved_ = charge;
    return true;
}

bool exchange::reserve_waiting()
{
    const auto until = std::min(started_ + duration(grant_wait), deadline_);
    const auto charge = head_.max_charge();
    if (budget_left() < charge ||
        !shared_.local_wallet.may_obtain(customer_->id, charge, started_))
        return false;
    shared_.control.request_budget(customer_->id, charge);
    while (shared_.clock.now() < until && !client_.closed()) {
        fiber_sleep(shared_.io, grant_check);
        if (take_tokens(charge))
            return true;
    }
    return false;
}

void exchange::serve()
{
    while (!over() && !crashes_engines()) {
        const auto engines = view_->engines.find(service_);
        if (engines == view_->engines.end() || !may_send_again())
            return;
        const auto place = shared_.selector.place(need_, engines->second,
                                                  tried_, shared_.clock.now());
        if (!place || !send_once(*place))
            return;
        view_ = shared_.view;
    }
}

bool exchange::may_send_again()
{
    if (sends_ == 0)
        return true;
    if (sends_ >= route_->max_attempts)
        return false;
    if (shared_.retries.try_acquire_retry(service_, view_->live_vms,
                                          shared_.clock.now())) {
        shared_.metrics.add(counter::repeats);
        return true;
    }
    shared_.metrics.add(counter::repeats_denied);
    return false;
}

void exchange::settle()
{
    if (reserved_ == 0)
        return;
    // What may have run is charged its prompt; output as it was delivered.
    token_count used = may_have_run_ ? head_.input_tokens : 0;
    const auto* service = config_->service(service_);
    const auto per_event = service != nullptr && service->model
                               ? service->model->tokens_per_event
                               : head_.max_output_tokens;
    used += static_cast<token_count>(last_event_ - first_event_) * per_event;
    used = std::min(used, reserved_);
    if (from_credit_)
        shared_.credit.settle(customer_->id, reserved_, used);
    else
        shared_.local_wallet.settle(customer_->id, reserved_, used);
    shared_.metrics.add(counter::tokens_charged,
                        static_cast<std::uint64_t>(used));
    reserved_ = 0;
}

void exchange::finish()
{
    if (answered_)
        return log_end("served", 200);
    keep_ = keep_ && !stream_started_;
    if (client_.closed()) {
        shared_.metrics.add(counter::clients_gone);
        return log_end("client_gone", 0);
    }
    shared_.metrics.add(counter::answers_failed);
    if (stream_started_) {
        client_.abort();
        return log_end("stream_broken", 0);
    }
    if (last_failure_) {
        client_.write(*last_failure_, answer_write_limit);
        return log_end("engine_failure", last_failure_status_);
    }
    if (may_have_run_)
        refuse(timed_out_ ? 504 : 502, counter::answers_failed,
               timed_out_ ? "timed_out" : "engine_lost");
    else if (refused_by_engine_)
        refuse(503, counter::refused_engines_full, "engines_full", soon);
    else
        refuse(503, counter::refused_no_engine, "no_engine", soon);
}

bool exchange::refuse(unsigned status, counter why, const char* reason,
                      std::optional<milliseconds> retry_after)
{
    shared_.metrics.add(why);
    log_end(reason, status);
    return write_answer(status, platform::own_answer(head_.id, retry_after),
                        std::string("{\"error\":\"") + reason + "\"}\n");
}

bool exchange::write_answer(unsigned status, platform::header_fields fields,
                            const std::string& body)
{
    http::response_header<> header(std::move(fields));
    header.version(11);
    header.result(status);
    header.set(http::field::content_length, std::to_string(body.size()));
    if (!keep_)
        header.set(http::field::connection, "close");
    const bool no_body = request_.method() == http::verb::head;
    return client_.write(header_text(header) + (no_body ? "" : body),
                         answer_write_limit);
}

void exchange::log_end(const char* outcome, unsigned status)
{
    const auto now = shared_.clock.now();
    if (answered_) {
        shared_.metrics.add(counter::answers_served);
        shared_.metrics.observe(histogram::whole_answer, now - started_);
        shared_.metrics.observe(histogram::first_event, first_byte_);
        if (first_byte_ > route_->target_latency)
            shared_.metrics.add(counter::answers_late);
    }
    shared_.log.write(
        "request_end",
        {{"req", head_.id},
         {"outcome", outcome},
         {"status", status},
         {"route", route_ == nullptr ? "" : route_->name},
         {"customer", customer_ == nullptr ? "" : customer_->id.value()},
         {"engine", engine_.value()},
         {"sends", sends_},
         {"input", head_.input_tokens},
         {"max_output", head_.max_output_tokens},
         {"events", last_event_ - first_event_},
         {"first_ms", first_byte_},
         {"ms", now - started_},
         {"config",
          view_ && view_->config ? view_->config->config().version : 0}});
}

duration exchange::time_left() const
{
    return deadline_ - shared_.clock.now();
}

duration exchange::age() const
{
    return shared_.clock.now() - started_;
}

bool exchange::over() const
{
    return answered_ || timed_out_ || client_.closed() ||
           time_left() < least_time;
}

void exchange::cancel_send()
{
    if (connection_)
        connection_->reset();
}

} // namespace rosemarydeck
