/** @file credit_service_base.cpp Credit requests to and from other VMs. */
#include "gateway/credit_service_base.hpp"

#include "common/overload_func.hpp"
#include "credit/credit_home_func.hpp"
#include "credit/credit_message_func.hpp"
#include "web/fiber_scheduler_base.hpp"

#include <boost/fiber/all.hpp>
#include <set>

namespace rosemarydeck
{

namespace
{

/** An answer takes a few milliseconds, or the time of a ledger renewal. */
constexpr auto answer_timeout = milliseconds(160);
/** A VM that did not answer gets no request for this time. */
constexpr auto unanswered_cooldown = milliseconds(1'500);
/** Time for which a missed answer counts. */
constexpr auto missed_answer_ttl = milliseconds(5'000);
/** Answers missed in a row after which the connection is replaced; they are
 *  at least one cool-down apart. */
constexpr int max_missed_answers = 2;
/** Tolerated lateness of an answer: after a stall of this VM the time-out can
 *  fire before an answer that has arrived is read. */
constexpr auto late_answer_grace_period = milliseconds(20);
/** Longest wait for a new connection, and its poll interval. */
constexpr auto connect_timeout = milliseconds(60);
constexpr auto connect_poll_interval = milliseconds(10);
/** Interval at which credit is topped up, returned and reported. */
constexpr auto maintenance_interval = milliseconds(1'000);
/** Valid messages have fewer than 100 bytes. */
constexpr std::size_t max_message_bytes = 4'096;
/** A longer send queue means that the other end does not read. */
constexpr std::size_t max_queued_bytes = 16'384;
/** Requests of other VMs that are handled at a time, each by a fiber. */
constexpr std::size_t max_requests_handled = 1'024;

peer_socket_options socket_options()
{
    return {.max_message_bytes = max_message_bytes,
            .min_reconnect_delay_ms = 200,
            .max_reconnect_delay_ms = 2'000,
            .handshake_timeout_ms = 1'000};
}

std::string endpoint_of(const fleet_vm& one)
{
    return one.address + ":" + std::to_string(one.port);
}

} // namespace

credit_service::credit_service(boost::asio::io_context& io,
                               credit_options options, credit_pool& pool,
                               memory_account& memory, event_log& log,
                               gateway_metrics& metrics)
    : io_(io), options_(std::move(options)), credit_pool_(pool),
      memory_(memory), log_(log), metrics_(metrics),
      peers_(io, socket_options(),
             {.accepted =
                  [this](socket_number number) { return on_accepted(number); },
              .ended = [this](socket_number number) { on_ended(number); },
              .opened = [this](socket_number number,
                               bool outgoing) { on_opened(number, outgoing); },
              .closed = [this](socket_number number) { on_closed(number); },
              .received =
                  [this](socket_number from, bool, const std::string& bytes) {
                      on_received(from, bytes);
                  }})
{
}

void credit_service::start()
{
    std::string fault;
    const auto port =
        peers_.listen(options_.self.address, options_.self.port, fault);
    if (port == 0)
        log_.write("peer_port_unavailable",
                   {{"at", endpoint_of(options_.self)}, {"why", fault}});
    boost::fibers::fiber(boost::fibers::launch::post, [this] {
        maintain_credit();
    }).detach();
}

void credit_service::update_fleet(std::vector<fleet_vm> fleet,
                                  const std::vector<customer_id>& customers)
{
    std::set<std::string> known;
    for (const auto& one : fleet)
        known.insert(endpoint_of(one));
    for (const auto& one : fleet_)
        if (known.count(endpoint_of(one)) == 0)
            peers_.forget(one.address, one.port);
    fleet_ = std::move(fleet);
    for (const auto& customer : customers) {
        const auto candidates = reachable_homes(customer);
        if (!candidates.empty() && !is_home(customer))
            peers_.dial(candidates.front().address, candidates.front().port);
    }
}

bool credit_service::is_home(const customer_id& customer) const
{
    const auto candidates =
        homes_of(customer, options_.self.data_centre, fleet_);
    return !candidates.empty() && candidates.front().vm == options_.self.vm;
}

std::vector<fleet_vm>
credit_service::reachable_homes(const customer_id& customer)
{
    auto candidates = homes_of(customer, options_.self.data_centre, fleet_);
    std::erase_if(candidates, [&](const auto& one) {
        const auto found = unanswered_.find(endpoint_of(one));
        return one.vm == options_.self.vm || one.port == 0 ||
               (found != unanswered_.end() &&
                found->second.cooldown_end > clock_.now());
    });
    return candidates;
}

std::optional<socket_number> credit_service::connect_to(const fleet_vm& home)
{
    for (auto waited = milliseconds(0); waited <= connect_timeout;
         waited += connect_poll_interval) {
        const auto found = sockets_.find(endpoint_of(home));
        if (found != sockets_.end())
            return found->second;
        peers_.dial(home.address, home.port);
        fiber_sleep(io_, connect_poll_interval);
    }
    return std::nullopt;
}

bool credit_service::request_credit(const customer_id& customer,
                                    token_count tokens)
{
    auto& unmet = demands_[customer];
    unmet.min_tokens =
        unmet.requesting ? std::min(unmet.min_tokens, tokens) : tokens;
    if (std::exchange(unmet.requesting, true))
        return true;
    bool granted = true;
    while (true) {
        const auto total = options_.waiting_tokens(customer);
        if (total <= credit_pool_.free(customer))
            break;
        const auto smallest = std::min(unmet.min_tokens, total);
        granted = request_from_homes(customer, smallest, total);
        // A smaller request that came meanwhile may still be covered.
        if (granted || unmet.min_tokens < smallest)
            continue;
        log_.write("credit_short", {{"customer", customer.value()},
                                    {"asked", smallest},
                                    {"all", total},
                                    {"vms", fleet_.size()}});
        break;
    }
    unmet = {};
    return granted;
}

bool credit_service::request_from_homes(const customer_id& customer,
                                        token_count min_tokens,
                                        token_count wanted_tokens)
{
    for (const auto& home : reachable_homes(customer)) {
        // Credit already held reduces the request.
        const auto held = credit_pool_.free(customer);
        if (wanted_tokens <= held)
            return true;
        const auto granted =
            request_from(home, {++last_number_, customer,
                                std::max<token_count>(1, min_tokens - held),
                                wanted_tokens - held});
        if (granted.value_or(0) > 0)
            return true;
    }
    return false;
}

std::optional<token_count> credit_service::request_from(const fleet_vm& home,
                                                        credit_request request)
{
    const auto socket = connect_to(home);
    if (!socket)
        return std::nullopt;
    pending_request waiting(io_);
    pending_[request.number] = &waiting;
    metrics_.add(counter::credit_requests);
    const auto start_time = clock_.now();
    if (peers_.send(*socket, true, encode_credit(request))) {
        waiting.timer.expires_after(answer_timeout);
        await_io([&](auto handler) {
            waiting.timer.async_wait(std::move(handler));
        });
        if (!waiting.granted)
            fiber_sleep(io_, late_answer_grace_period);
    }
    pending_.erase(request.number);
    metrics_.observe(histogram::credit_request, clock_.now() - start_time);
    if (!waiting.granted)
        record_unanswered(home, *socket);
    return waiting.granted;
}

void credit_service::record_unanswered(const fleet_vm& home,
                                       socket_number socket)
{
    log_.write("peer_silent", {{"peer", home.vm.value()}});
    const auto now = clock_.now();
    auto& record = unanswered_[endpoint_of(home)];
    const auto missed = record.expires > now ? record.missed + 1 : 1;
    record = {now + unanswered_cooldown, now + missed_answer_ttl, missed};
    // The connection may be dead, so a new one replaces it. A late answer on
    // the old one is lost.
    if (missed >= max_missed_answers)
        peers_.close(socket);
}

void credit_service::maintain_credit()
{
    while (!closing_) {
        for (const auto& customer : credit_pool_.customers())
            credit_pool_.set_cover_factor(customer,
                                          options_.cover_factor(customer));
        for (const auto& shortfall : credit_pool_.shortfalls(clock_.now())) {
            const auto candidates = reachable_homes(shortfall.customer);
            if (!candidates.empty() && !is_home(shortfall.customer))
                request_from(
                    candidates.front(),
                    {++last_number_, shortfall.customer, 0, shortfall.tokens});
        }
        return_credit(credit_pool_.take_idle(clock_.now()));
        report_used();
        fiber_sleep(io_, maintenance_interval);
    }
}

void credit_service::return_credit(const std::vector<credit_return>& credit)
{
    for (const auto& one : credit)
        if (is_home(one.customer) || !send_to_home(one.customer, one))
            credit_pool_.add(one.customer, one.tokens, clock_.now());
}

void credit_service::report_used()
{
    for (const auto& one : credit_pool_.take_unreported()) {
        if (is_home(one.customer))
            options_.record_usage(one);
        else if (!send_to_home(one.customer, one))
            credit_pool_.restore_unreported(one);
    }
}

bool credit_service::send_to_home(const customer_id& customer,
                                  const credit_message& message)
{
    const auto candidates = reachable_homes(customer);
    if (candidates.empty())
        return false;
    const auto socket = connect_to(candidates.front());
    return socket && peers_.send(*socket, true, encode_credit(message));
}

void credit_service::add_credit(const credit_reply& reply)
{
    credit_pool_.add(reply.customer, reply.tokens, clock_.now());
}

void credit_service::close()
{
    closing_ = true;
    return_credit(credit_pool_.release_all());
    report_used();
}

bool credit_service::on_accepted(socket_number number)
{
    const auto holder = memory_.open(
        peer_kind::vm, [this, number](bool) { peers_.abort(number); },
        clock_.now());
    if (holder != 0)
        holders_[number] = holder;
    return holder != 0;
}

void credit_service::on_ended(socket_number number)
{
    const auto found = holders_.find(number);
    if (found == holders_.end())
        return;
    memory_.close(found->second);
    holders_.erase(found);
}

void credit_service::on_opened(socket_number number, bool outgoing)
{
    if (outgoing)
        sockets_[peers_.target(number)] = number;
}

void credit_service::on_closed(socket_number number)
{
    std::erase_if(sockets_,
                  [&](const auto& one) { return one.second == number; });
}

void credit_service::on_received(socket_number from, const std::string& bytes)
{
    const auto holder = holders_.find(from);
    if (holder != holders_.end())
        memory_.set_state(holder->second, peer_state::idle, clock_.now());
    const auto message = decode_credit(bytes, "peer");
    if (!message) {
        log_.write("credit_unreadable", {{"why", describe(message.error())}});
        return peers_.close(from);
    }
    std::visit(
        overload{[&](const credit_request& request) { handle(from, request); },
                 [&](const auto& other) { handle(other); }},
        *message);
}

void credit_service::handle(socket_number from, const credit_request& request)
{
    if (requests_handled_ >= max_requests_handled) {
        peers_.send(
            from, true,
            encode_credit(credit_reply{request.number, request.customer}));
        return;
    }
    ++requests_handled_;
    // The answer may need a renewal, and a receive handler must not block.
    boost::fibers::fiber(boost::fibers::launch::post, [this, from, request] {
        credit_reply reply{request.number, request.customer};
        reply.tokens = credit_pool_.release(
            request.customer, request.min_tokens, request.wanted_tokens);
        if (reply.tokens == 0)
            reply = options_.grant_credit(request);
        metrics_.add(counter::credit_granted_tokens,
                     static_cast<std::uint64_t>(reply.tokens));
        if (peers_.queued(from) > max_queued_bytes ||
            !peers_.send(from, true, encode_credit(reply)))
            credit_pool_.add(request.customer, reply.tokens, clock_.now());
        --requests_handled_;
    }).detach();
}

void credit_service::handle(const credit_reply& reply)
{
    // Late credit counts as well: the VM that granted it has charged it.
    credit_pool_.add(reply.customer, reply.tokens, clock_.now());
    options_.record_consumed(reply.customer, reply.consumed);
    const auto request = pending_.find(reply.number);
    if (request == pending_.end())
        return;
    request->second->granted = reply.tokens;
    request->second->timer.cancel();
}

void credit_service::handle(const credit_return& returned)
{
    credit_pool_.add(returned.customer, returned.tokens, clock_.now());
}

void credit_service::handle(const credit_usage& usage)
{
    options_.record_usage(usage);
}

} // namespace rosemarydeck
