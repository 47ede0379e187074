/** @file exchange_relay.cpp Requests that another VM serves for this one. */
#include "gateway/exchange_base.hpp"

#include "gateway/header_text_func.hpp"
#include "router/permitted_region_func.hpp"
#include "web/fiber_scheduler_base.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/fiber/all.hpp>
#include <charconv>

namespace rosemarydeck
{

namespace
{

namespace http = boost::beast::http;

constexpr unsigned max_status = 599;
/** Maximum size of one event of a stream. */
constexpr std::size_t max_event_bytes = 262'144;
/** VMs accept a connection within one round trip. */
constexpr auto relay_connect_timeout = milliseconds(100);
/** VMs to which a request is passed, one after the other, until one reaches an
 *  engine. */
constexpr std::size_t max_relays = 3;
/** Interval at which a VM that reaches no engine of a service tries one. */
constexpr auto engine_probe_interval = milliseconds(500);
constexpr auto engine_probe_timeout = milliseconds(300);

std::uint64_t version_in(boost::beast::string_view text)
{
    std::uint64_t version = 0;
    std::from_chars(text.data(), text.data() + text.size(), version);
    return version;
}

/** @return True if a status says that the request has not run and won't. */
bool promises_not_run(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

std::uint64_t exchange::config_version() const
{
    return view_ && view_->config ? view_->config->config().version : 0;
}

bool exchange::has_older_config() const
{
    if (config_version() >= relayed_->config_version)
        return false;
    context_.control.report_config_version(relayed_->config_version,
                                           relayed_->vm);
    return true;
}

void exchange::add_relay_fields(platform::header_fields& fields) const
{
    // An older build would pass the field on to its client.
    if (relayed_ && relayed_->config_version != 0)
        fields.set(relay_config_field, std::to_string(config_version()));
    else
        fields.erase(relay_config_field);
}

void exchange::serve()
{
    // The budget may have been waited for.
    view_ = context_.view;
    const bool cut_off = !relayed_ && !reaches_engines();
    if (cut_off) {
        probe_engine();
        relay();
        // The cut may have ended meanwhile.
        if (relay_answered_ || may_have_run_)
            return;
    }
    try_engines();
    if (!cut_off && last_unreachable_)
        relay();
}

bool exchange::reaches_engines() const
{
    const auto engines = view_->engines.find(service_);
    if (engines == view_->engines.end())
        return true;
    if (!is_region_bound())
        return context_.selector.reaches_any(engines->second, origin_);
    std::vector<engine_info> storage;
    return context_.selector.reaches_any(
        eligible_engines(engines->second, storage), origin_);
}

bool exchange::may_relay() const
{
    return !relayed_ && !is_finished() && !stream_started_ &&
           !refused_by_engine_ && !last_failure_answer_ && !is_trial_ &&
           !view_->relays.empty() && send_count_ < route_->max_attempts &&
           (!may_have_run_ || route_->repeatable());
}

void exchange::probe_engine()
{
    const auto engines = view_->engines.find(service_);
    const auto now = context_.clock.now();
    auto& next = context_.next_engine_probe[service_];
    if (engines == view_->engines.end() || engines->second.empty() ||
        now < next)
        return;
    next = now + duration(engine_probe_interval);
    const auto number = context_.engine_probes++ % engines->second.size();
    // The exchange may end before the probe.
    boost::fibers::fiber(
        boost::fibers::launch::post,
        [&context = context_, engine = engines->second[number]] {
            auto connection = context.connection_pool.make();
            if (!context.connection_pool.connect(engine, connection,
                                                 engine_probe_timeout))
                return;
            context.selector.record_reachable(engine.id);
            context.connection_pool.keep(std::move(connection),
                                         context.clock.now());
        })
        .detach();
}

bool exchange::is_region_bound() const
{
    return !route_->permitted_regions.empty() ||
           (customer_ != nullptr && !customer_->permitted_regions.empty());
}

std::vector<relay_peer> exchange::permitted_relays() const
{
    auto peers = view_->relays;
    std::erase_if(peers, [this](const relay_peer& peer) {
        return !may_enter(context_.settings.regions, *route_, customer_,
                          peer.data_centre);
    });
    return peers;
}

void exchange::relay()
{
    std::set<vm_id> tried;
    const auto peers = permitted_relays();
    while (may_relay() && tried.size() < max_relays) {
        if (hop_broke_ && !acquire_send())
            return;
        const auto peer =
            context_.relays.choose(peers, tried, context_.clock.now());
        if (!peer)
            return;
        tried.insert(peer->vm);
        const auto outcome = relay_to(*peer);
        engine_connection_.reset();
        context_.relays.release(*peer, outcome, context_.clock.now());
        context_.metrics.add(counter::relays);
        context_.log.write("request_relayed", {{"req", request_head_.id},
                                               {"to", peer->vm.value()},
                                               {"outcome", name_of(outcome)},
                                               {"status", relayed_status_},
                                               {"sends", send_count_},
                                               {"ms", elapsed()}});
        if (outcome == relay_outcome::answered)
            return;
        if (outcome == relay_outcome::broken) {
            // The other VM may have sent it to an engine.
            hop_broke_ = true;
            ++send_count_;
        }
    }
}

std::string exchange::encode_for_vm() const
{
    http::request_header<> header(request_);
    header.version(11);
    header.erase(http::field::connection);
    header.erase(http::field::transfer_encoding);
    header.erase(http::field::expect);
    header.set(http::field::connection, "close");
    header.set(http::field::content_length,
               std::to_string(request_.body().size()));
    header.set(relay_sends_field, std::to_string(send_count_));
    header.set(relay_config_field, std::to_string(config_version()));
    header.set(relay_vm_field, context_.settings.vm.value());
    if (reserved_tokens_ > 0)
        header.set(relay_paid_field, "1");
    platform::set_deadline(
        header, std::chrono::duration_cast<milliseconds>(time_left()));
    return header_text(header);
}

relay_outcome exchange::relay_to(const relay_peer& peer)
{
    engine_connection_ = context_.connection_pool.make();
    engine_info target;
    target.address = peer.address;
    target.port = peer.port;
    if (!context_.connection_pool.connect(target, engine_connection_,
                                          relay_connect_timeout))
        return relay_outcome::unreachable;
    if (client_.detect_close() || timed_out_)
        return relay_outcome::unreachable;
    const bool may_have_run_before = std::exchange(may_have_run_, true);
    const auto head = encode_for_vm();
    const std::array text{boost::asio::buffer(head),
                          boost::asio::buffer(request_.body())};
    const auto sent = await_io([&](auto handler) {
        boost::asio::async_write(engine_connection_->socket, text,
                                 std::move(handler));
    });
    context_.link_bytes.sent += sent.bytes;
    return read_relayed_answer(peer, may_have_run_before);
}

relay_outcome exchange::read_relayed_answer(const relay_peer& peer,
                                            bool may_have_run_before)
{
    answer_parser parser;
    parser.body_limit(boost::none);
    if (request_.method() == http::verb::head)
        parser.skip(true);
    const auto read = await_io([&](auto handler) {
        http::async_read_header(engine_connection_->socket,
                                engine_connection_->buffer, parser,
                                std::move(handler));
    });
    context_.link_bytes.received += read.bytes;
    if (read.fault)
        return relay_outcome::broken;
    relayed_status_ = parser.get().result_int();
    // VMs tell the length of each answer, or send it in chunks.
    if (parser.need_eof() || relayed_status_ > max_status)
        return relay_outcome::broken;
    const auto version = version_in(parser.get()[relay_config_field]);
    if (version > config_version())
        context_.control.report_config_version(version, peer.vm);
    if (parser.get().find(relay_no_engine_field) != parser.get().end()) {
        may_have_run_ = may_have_run_before;
        return relay_outcome::no_engine;
    }
    if (!pass_on_answer(parser))
        return relay_outcome::broken;
    if (promises_not_run(relayed_status_))
        may_have_run_ = may_have_run_before;
    return relay_outcome::answered;
}

void exchange::count_passed_events(event_splitter& splitter,
                                   const std::string& body)
{
    if (route_->repeat != repeat_rule::stream || relayed_status_ >= 300)
        return;
    for (const auto& event : splitter.feed(body))
        if (event.id)
            last_event_id_ = std::max(last_event_id_, *event.id);
}

bool exchange::pass_on_answer(answer_parser& parser)
{
    http::response_header<> header(parser.get());
    header.erase(http::field::connection);
    header.erase(relay_config_field);
    if (!keep_alive_)
        header.set(http::field::connection, "close");
    const bool chunked = parser.chunked();
    stream_started_ = true;
    time_to_first_byte_ = elapsed();
    if (!client_.write(header_text(header), time_left()))
        return false;
    event_splitter splitter;
    while (true) {
        const auto body = std::exchange(parser.get().body(), {});
        count_passed_events(splitter, body);
        if (splitter.pending_bytes() > max_event_bytes ||
            !charge_answer(parser, splitter.pending_bytes() + body.size()))
            return false;
        if (!body.empty() &&
            !client_.write(chunked ? encode_chunk(body) : body, time_left()))
            return false;
        if (parser.is_done())
            break;
        if (!read_some(parser))
            return false;
    }
    if (chunked && !client_.write("0\r\n\r\n", time_left()))
        return false;
    relay_answered_ = true;
    return true;
}

} // namespace rosemarydeck
