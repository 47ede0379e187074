/** @file exchange_end.cpp Refusals and the end of requests. */
#include "gateway/exchange_base.hpp"

#include "gateway/header_text_func.hpp"

namespace rosemarydeck
{

namespace
{

namespace http = boost::beast::http;

/** Time limit for a client to accept an answer that is completely in memory.
 */
constexpr auto answer_write_timeout = milliseconds(5'000);

} // namespace

void exchange::finish()
{
    if (answered_)
        return log_end("served", 200);
    if (relay_answered_)
        return log_end("relayed", relayed_status_);
    keep_alive_ = keep_alive_ && !stream_started_;
    if (client_.closed()) {
        context_.metrics.add(counter::clients_gone);
        return log_end("client_gone", 0);
    }
    context_.metrics.add(counter::answers_failed);
    if (stream_started_) {
        client_.abort();
        return log_end("stream_broken", 0);
    }
    if (last_failure_answer_) {
        client_.write(last_failure_answer_->head, last_failure_answer_->body,
                      answer_write_timeout);
        return log_end("engine_failure", last_failure_status_);
    }
    if (may_have_run_)
        refuse(timed_out_ ? 504 : 502, counter::answers_failed,
               timed_out_      ? "timed_out"
               : memory_short_ ? "answer_too_large"
                               : "engine_lost");
    else if (refused_by_engine_)
        refuse(503, counter::refused_engines_full, "engines_full",
               retry_after_no_engine());
    else
        refuse(503, counter::refused_no_engine, "no_engine",
               retry_after_no_engine());
}

milliseconds exchange::retry_after_no_engine() const
{
    const auto engines = view_->engines.find(service_);
    if (engines == view_->engines.end())
        return retry_after_unavailable;
    const auto now = context_.clock.now();
    const auto rest_end = context_.selector.rest_end(engines->second, now);
    if (!rest_end)
        return retry_after_unavailable;
    return std::max(retry_after_unavailable,
                    std::chrono::ceil<milliseconds>(*rest_end - now));
}

void exchange::settle()
{
    if (reserved_tokens_ == 0)
        return;
    // A request that may have run is charged for its whole prompt, and for
    // the output events that were received.
    token_count used = may_have_run_ ? request_head_.input_tokens : 0;
    const auto* service = config_->service(service_);
    const auto per_event = service != nullptr && service->model
                               ? service->model->tokens_per_event
                               : request_head_.max_output_tokens;
    used += static_cast<token_count>(last_event_id_ - initial_event_id_) *
            per_event;
    used = std::min(used, reserved_tokens_);
    if (reserved_from_credit_)
        context_.credit.settle(customer_->id, reserved_tokens_, used);
    else
        context_.local_wallet.settle(customer_->id, reserved_tokens_, used);
    context_.metrics.add(counter::tokens_charged,
                         static_cast<std::uint64_t>(used));
    reserved_tokens_ = 0;
}

bool exchange::refuse(unsigned status, counter refusal_counter,
                      const char* reason,
                      std::optional<milliseconds> retry_after)
{
    context_.metrics.add(refusal_counter);
    log_end(reason, status);
    auto fields = platform::local_answer_header(request_head_.id, retry_after);
    if (relayed_ && (refusal_counter == counter::refused_no_engine ||
                     refusal_counter == counter::refused_no_config ||
                     refusal_counter == counter::refused_unconfirmed ||
                     refusal_counter == counter::refused_memory ||
                     refusal_counter == counter::refused_vm_full ||
                     refusal_counter == counter::refused_stopping))
        fields.set(relay_no_engine_field, "1");
    add_relay_fields(fields);
    return write_answer(status, std::move(fields),
                        std::string("{\"error\":\"") + reason + "\"}\n");
}

bool exchange::deny(unsigned status, counter refusal_counter,
                    const char* reason)
{
    const auto known = context_.knowledge.evidence();
    const auto now = context_.clock.now();
    context_.log.write(
        "request_denied",
        {{"req", request_head_.id},
         {"why", reason},
         {"config", config_version()},
         {"newest", known.newest_version},
         {"newest_at", known.newest_at.value()},
         {"revision", known.sync.revision},
         {"answer", name_of(known.sync.answer)},
         {"told", known.sync.told},
         {"watch_ms", age_text(known.sync.watch_began, now)},
         {"heard_ms", age_text(known.sync.heard, now)},
         {"confirmed_ms",
          age_text(known.confirmed, context_.confirmation_clock.now())},
         {"confirmed_by", known.confirmed_by.value()}});
    refuse(status, refusal_counter, reason);
    return false;
}

bool exchange::write_answer(unsigned status, platform::header_fields fields,
                            const std::string& body)
{
    http::response_header<> header(std::move(fields));
    header.version(11);
    header.result(status);
    header.set(http::field::content_length, std::to_string(body.size()));
    if (!keep_alive_)
        header.set(http::field::connection, "close");
    const bool no_body = request_.method() == http::verb::head;
    return client_.write(header_text(header) + (no_body ? "" : body),
                         answer_write_timeout);
}

void exchange::log_end(const char* outcome, unsigned status)
{
    const auto now = context_.clock.now();
    if (answered_) {
        context_.metrics.add(counter::answers_served);
        context_.metrics.observe(histogram::whole_answer, now - started_);
        context_.metrics.observe(histogram::first_event, time_to_first_byte_);
        if (time_to_first_byte_ > route_->target_latency)
            context_.metrics.add(counter::answers_late);
    }
    context_.log.write(
        "request_end",
        {{"req", request_head_.id},
         {"outcome", outcome},
         {"status", status},
         {"route", route_ == nullptr ? "" : route_->name},
         {"customer", customer_ == nullptr ? "" : customer_->id.value()},
         {"engine", last_engine_.value()},
         {"software", last_software_.value()},
         {"resumes", request_head_.resumed_stream.value()},
         {"resume_after", initial_event_id_},
         {"sends", send_count_},
         {"input", request_head_.input_tokens},
         {"max_output", request_head_.max_output_tokens},
         {"events", last_event_id_ - initial_event_id_},
         {"first_ms", time_to_first_byte_},
         {"ms", now - started_},
         {"config",
          view_ && view_->config ? view_->config->config().version : 0}});
}

} // namespace rosemarydeck
