/** @file credit_service_base.cpp Exchanges parts of budgets with other VMs. */
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

/** An answer takes a few milliseconds, or a renewal of the ledger. */
constexpr auto ask_limit = milliseconds(160);
/** A VM that gave no answer is left alone for so long. */
constexpr auto silent_span = milliseconds(1'500);
constexpr auto silent_memory = milliseconds(5'000);
/** Answers missed in a row, at least silent_span apart. */
constexpr int dead_after = 2;
constexpr auto stall_grace = milliseconds(20);
/** Longest wait for a new connection. */
constexpr auto open_limit = milliseconds(60);
constexpr auto open_check = milliseconds(10);
/** Time between looks at whether credit should be topped up or given back. */
constexpr auto keep_up_every = milliseconds(1'000);
/** Messages are below a hundred bytes. */
constexpr std::size_t max_message = 4'096;
/** More than this waiting means that the other end does not read. */
constexpr std::size_t max_queued = 16'384;

peer_socket_options socket_options()
{
    return {.max_message_bytes = max_message,
            .reconnect_ms = 200,
            .max_reconnect_ms = 2'000,
            .handshake_ms = 1'000};
}

std::string endpoint_of(const fleet_vm& one)
{
    return one.address + ":" + std::to_string(one.port);
}

} // namespace

credit_service::credit_service(boost::asio::io_context& io,
                               credit_options options, credit_pool& pool,
                               event_log& log, gateway_metrics& metrics)
    : io_(io), options_(std::move(options)), credit_pool_(pool), log_(log),
      metrics_(metrics),
      peers_(io, socket_options(),
             {.opened = [this](socket_number number,
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
        keep_up();
    }).detach();
}

void credit_service::take_fleet(std::vector<fleet_vm> fleet,
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
        const auto order = homes(customer);
        if (!order.empty() && !is_home(customer))
            peers_.dial(order.front().address, order.front().port);
    }
}

bool credit_service::is_home(const customer_id& customer) const
{
    const auto order = homes_of(customer, options_.self.data_centre, fleet_);
    return !order.empty() && order.front().vm == options_.self.vm;
}

std::vector<fleet_vm> credit_service::homes(const customer_id& customer)
{
    auto order = homes_of(customer, options_.self.data_centre, fleet_);
    std::erase_if(order, [&](const auto& one) {
        const auto found = silent_.find(endpoint_of(one));
        return one.vm == options_.self.vm || one.port == 0 ||
               (found != silent_.end() && found->second.until > clock_.now());
    });
    return order;
}

std::optional<socket_number> credit_service::socket_to(const fleet_vm& home)
{
    for (auto waited = milliseconds(0); waited <= open_limit;
         waited += open_check) {
        const auto found = sockets_.find(endpoint_of(home));
        if (found != sockets_.end())
            return found->second;
        peers_.dial(home.address, home.port);
        fiber_sleep(io_, open_check);
    }
    return std::nullopt;
}

bool credit_service::ask(const customer_id& customer, token_count tokens)
{
    auto& known = demands_[customer];
    known.min_amount =
        known.all == 0 ? tokens : std::min(known.min_amount, tokens);
    known.all += tokens;
    if (std::exchange(known.asking, true))
        return true;
    bool given = true;
    while (given && known.all > 0) {
        const auto wanted = std::exchange(known, {.asking = true});
        given = ask_homes(customer, wanted);
        if (!given)
            log_.write("credit_short", {{"customer", customer.value()},
                                        {"asked", wanted.min_amount},
                                        {"all", wanted.all},
                                        {"vms", fleet_.size()}});
    }
    known = {};
    return given;
}

bool credit_service::ask_homes(const customer_id& customer,
                               const demand& wanted)
{
    for (const auto& home : homes(customer)) {
        // What is held already need not be asked for.
        const auto held = credit_pool_.free(customer);
        if (wanted.min_amount <= held)
            return true;
        const auto given =
            ask_one(home, {++last_number_, customer, wanted.min_amount - held,
                           wanted.all - held});
        if (given.value_or(0) > 0)
            return true;
    }
    return false;
}

std::optional<token_count> credit_service::ask_one(const fleet_vm& home,
                                                   credit_request ask)
{
    const auto socket = socket_to(home);
    if (!socket)
        return std::nullopt;
    pending_ask waiting(io_);
    pending_[ask.number] = &waiting;
    metrics_.add(counter::credit_asked);
    const auto begun = clock_.now();
    if (peers_.send(*socket, true, encode_credit(ask))) {
        waiting.timer.expires_after(ask_limit);
        await_io([&](auto handler) {
            waiting.timer.async_wait(std::move(handler));
        });
        // After a stall of this VM the answer may be there, but not yet read.
        if (!waiting.given)
            fiber_sleep(io_, stall_grace);
    }
    pending_.erase(ask.number);
    metrics_.observe(histogram::credit_request, clock_.now() - begun);
    if (!waiting.given)
        note_silent(home, *socket);
    return waiting.given;
}

void credit_service::note_silent(const fleet_vm& home, socket_number socket)
{
    log_.write("peer_silent", {{"peer", home.vm.value()}});
    const auto now = clock_.now();
    auto& known = silent_[endpoint_of(home)];
    const auto times = known.forgotten > now ? known.times + 1 : 1;
    known = {now + silent_span, now + silent_memory, times};
    // It may be the connection: a new one is made. What comes late on the old
    // one is lost.
    if (times >= dead_after)
        peers_.close(socket);
}

void credit_service::keep_up()
{
    while (!closing_) {
        for (const auto& wish : credit_pool_.shortfalls(clock_.now())) {
            const auto order = homes(wish.customer);
            if (!order.empty() && !is_home(wish.customer))
                ask_one(order.front(),
                        {++last_number_, wish.customer, 0, wish.tokens});
        }
        give_back(credit_pool_.take_idle(clock_.now()));
        report_used();
        fiber_sleep(io_, keep_up_every);
    }
}

void credit_service::give_back(const std::vector<credit_return>& credit)
{
    for (const auto& one : credit)
        if (is_home(one.customer) || !send_home(one.customer, one))
            credit_pool_.add(one.customer, one.tokens, clock_.now());
}

void credit_service::report_used()
{
    for (const auto& one : credit_pool_.take_unreported()) {
        if (is_home(one.customer))
            options_.used(one);
        else if (!send_home(one.customer, one))
            credit_pool_.restore_unreported(one);
    }
}

bool credit_service::send_home(const customer_id& customer,
                               const credit_message& message)
{
    const auto order = homes(customer);
    if (order.empty())
        return false;
    const auto socket = socket_to(order.front());
    return socket && peers_.send(*socket, true, encode_credit(message));
}

void credit_service::keep(const credit_reply& gift)
{
    credit_pool_.add(gift.customer, gift.tokens, clock_.now());
}

void credit_service::close()
{
    closing_ = true;
    give_back(credit_pool_.release_all());
    report_used();
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
    const auto message = decode_credit(bytes, "peer");
    if (!message) {
        log_.write("credit_unreadable", {{"why", describe(message.error())}});
        return peers_.close(from);
    }
    std::visit(overload{[&](const credit_request& ask) { take(from, ask); },
                        [&](const auto& other) { take(other); }},
               *message);
}

void credit_service::take(socket_number from, const credit_request& ask)
{
    // A handler must not wait, and the answer may need a renewal.
    boost::fibers::fiber(boost::fibers::launch::post, [this, from, ask] {
        credit_reply gift{ask.number, ask.customer};
        gift.tokens = credit_pool_.release(ask.customer, ask.min_amount,
                                           ask.wanted_tokens);
        if (gift.tokens == 0)
            gift = options_.give(ask);
        metrics_.add(counter::credit_given,
                     static_cast<std::uint64_t>(gift.tokens));
        if (peers_.queued(from) > max_queued ||
            !peers_.send(from, true, encode_credit(gift)))
            credit_pool_.add(ask.customer, gift.tokens, clock_.now());
    }).detach();
}

void credit_service::take(const credit_reply& gift)
{
    // A late one counts too: its giver has charged it.
    credit_pool_.add(gift.customer, gift.tokens, clock_.now());
    options_.consumed(gift.customer, gift.consumed);
    const auto asked = pending_.find(gift.number);
    if (asked == pending_.end())
        return;
    asked->second->given = gift.tokens;
    asked->second->timer.cancel();
}

void credit_service::take(const credit_return& back)
{
    credit_pool_.add(back.customer, back.tokens, clock_.now());
}

void credit_service::take(const credit_usage& use)
{
    options_.used(use);
}

} // namespace rosemarydeck
