/** @file memory_account_base.cpp Memory and connections that peers may make the
 *  process keep. */
#include "router/memory_account_base.hpp"

#include <algorithm>
#include <vector>

namespace rosemarydeck
{

namespace
{

constexpr std::size_t kibibyte = 1'024;
constexpr std::size_t mebibyte = 1'024 * kibibyte;
/** Assumed memory of a VM whose settings don't tell. */
constexpr std::size_t default_memory_bytes = 256 * mebibyte;
/** Descriptors that neither clients nor engines may use: files, ports, the
 *  store and other VMs. */
constexpr std::size_t reserved_descriptors = 300;
/** Connections of clients and of VMs where descriptors are fewer still. */
constexpr std::size_t min_clients = 16;
/** Time without progress after which a connection may have to yield. */
constexpr auto stall_time = std::chrono::milliseconds(500);
/** Bytes that count as progress: fewer may be sent to keep a place. */
constexpr std::size_t min_progress_bytes = 4 * kibibyte;

/** @return The part of a limit up to which no customer's part is looked at. The
 *  rest remains for customers that have little. */
std::size_t part_before_scarce(std::size_t limit)
{
    return limit / 8 * 7;
}

} // namespace

memory_limits memory_limits_for(std::size_t memory_bytes,
                                std::size_t max_descriptors)
{
    const auto capacity =
        (memory_bytes == 0 ? default_memory_bytes : memory_bytes) / 2;
    const auto descriptors =
        max_descriptors - std::min(max_descriptors, reserved_descriptors);
    return {.capacity_bytes = capacity,
            .ordinary_bytes = 192 * kibibyte,
            .max_upload_bytes = capacity / 2,
            .max_answer_bytes = capacity / 4 * 3,
            .connection_bytes = 32 * kibibyte,
            .engine_bytes = 32 * kibibyte,
            .max_clients = std::max(min_clients, descriptors / 2),
            .max_handled = std::max(min_clients, descriptors / 8 * 3),
            .max_checks = 32,
            .max_vms = std::max(min_clients, descriptors / 8)};
}

std::size_t grown_bytes(std::size_t size, std::size_t capacity,
                        std::size_t more)
{
    if (size + more <= capacity)
        return capacity;
    return capacity + std::max(2 * capacity, size + more);
}

std::size_t memory_account::used_bytes() const
{
    const std::scoped_lock lock(mutex_);
    return used_.all;
}

std::size_t memory_account::connections() const
{
    const std::scoped_lock lock(mutex_);
    return holders_.size();
}

std::size_t memory_account::max_connections(peer_kind kind) const
{
    switch (kind) {
    case peer_kind::client:
        return limits_.max_clients;
    case peer_kind::check:
        return limits_.max_checks;
    case peer_kind::vm:
        return limits_.max_vms;
    }
    return 0;
}

bool memory_account::has_room(peer_kind kind) const
{
    const auto found = counts_.find(kind);
    const auto open = found == counts_.end() ? 0 : found->second;
    // The others are few, and must get in while clients hold all memory.
    return open < max_connections(kind) &&
           (kind != peer_kind::client ||
            used_.all + limits_.connection_bytes <= limits_.capacity_bytes);
}

void memory_account::add(total& sum, std::size_t bytes) const
{
    sum.all += bytes;
    sum.large += bytes > limits_.ordinary_bytes ? bytes : 0;
}

void memory_account::subtract(total& sum, std::size_t bytes) const
{
    sum.all -= bytes;
    sum.large -= bytes > limits_.ordinary_bytes ? bytes : 0;
}

holder_id memory_account::open(peer_kind kind, std::function<void(bool)> yield,
                               time_point now)
{
    const std::scoped_lock lock(mutex_);
    while (!has_room(kind)) {
        const auto found = choose(0, kind, false, 0, now);
        if (found == holders_.end())
            return 0;
        ++yields_;
        found->second.yield(true);
        remove(found);
    }
    add(used_, limits_.connection_bytes);
    ++counts_[kind];
    holders_.emplace(++last_id_,
                     memory_holder{.kind = kind,
                                   .bytes = limits_.connection_bytes,
                                   .progress_at = now,
                                   .yield = std::move(yield)});
    return last_id_;
}

void memory_account::close(holder_id id)
{
    const std::scoped_lock lock(mutex_);
    const auto found = holders_.find(id);
    if (found != holders_.end())
        remove(found);
}

std::uint64_t memory_account::yields() const
{
    const std::scoped_lock lock(mutex_);
    return yields_;
}

bool memory_account::begin_request(holder_id id, const customer_id& customer)
{
    const std::scoped_lock lock(mutex_);
    const auto found = holders_.find(id);
    if (found == holders_.end())
        return false;
    const auto own = handled_.find(customer);
    const bool is_new = own == handled_.end();
    const bool scarce =
        handled_total_ >= part_before_scarce(limits_.max_handled) ||
        used_.all > part_before_scarce(limits_.capacity_bytes);
    // One part is left for a customer that has no request here yet.
    const auto parts = handled_.size() + 1;
    const auto most =
        scarce ? limits_.max_handled / parts : limits_.max_handled;
    if (handled_total_ >= limits_.max_handled ||
        (!is_new && own->second >= most))
        return false;
    forget_request(found->second);
    found->second.customer = customer;
    ++handled_[customer];
    ++handled_total_;
    return true;
}

void memory_account::end_request(holder_id id)
{
    const std::scoped_lock lock(mutex_);
    const auto found = holders_.find(id);
    if (found != holders_.end())
        forget_request(found->second);
}

void memory_account::forget_request(memory_holder& holder)
{
    if (!holder.customer)
        return;
    const auto own = handled_.find(*holder.customer);
    if (--own->second == 0)
        handled_.erase(own);
    --handled_total_;
    holder.customer.reset();
}

void memory_account::remove(holders::iterator at)
{
    auto& holder = at->second;
    forget_request(holder);
    subtract(used_, holder.bytes);
    if (holder.yielding)
        subtract(leaving_, holder.bytes);
    --counts_[holder.kind];
    holders_.erase(at);
}

void memory_account::set_state(holder_id id, peer_state state, time_point now)
{
    const std::scoped_lock lock(mutex_);
    const auto found = holders_.find(id);
    if (found == holders_.end())
        return;
    auto& holder = found->second;
    holder.state = state;
    holder.progress_at = now;
    holder.progress_bytes = 0;
}

void memory_account::record_progress(holder_id id, std::size_t bytes,
                                     time_point now)
{
    const std::scoped_lock lock(mutex_);
    const auto found = holders_.find(id);
    if (found == holders_.end())
        return;
    auto& holder = found->second;
    holder.progress_bytes += bytes;
    if (holder.progress_bytes < min_progress_bytes)
        return;
    holder.progress_bytes = 0;
    holder.progress_at = now;
}

memory_result memory_account::charge(holder_id id, std::size_t bytes,
                                     time_point now)
{
    const std::scoped_lock lock(mutex_);
    const auto self = holders_.find(id);
    if (self == holders_.end())
        return memory_result::refused;
    auto& holder = self->second;
    const auto wanted = bytes + limits_.connection_bytes;
    const auto max_large =
        wanted <= limits_.ordinary_bytes      ? limits_.capacity_bytes
        : holder.state == peer_state::reading ? limits_.max_upload_bytes
                                              : limits_.max_answer_bytes;
    auto after = used_;
    subtract(after, holder.bytes);
    add(after, wanted);
    if (wanted <= holder.bytes ||
        (after.all <= limits_.capacity_bytes && after.large <= max_large)) {
        used_ = after;
        if (holder.yielding) {
            subtract(leaving_, holder.bytes);
            add(leaving_, wanted);
        }
        holder.bytes = wanted;
        return memory_result::charged;
    }
    return make_room(self, after, max_large, now) ? memory_result::wait
                                                  : memory_result::refused;
}

bool memory_account::make_room(holders::iterator asking, const total& after,
                               std::size_t max_large, time_point now)
{
    const bool for_answer = asking->second.state != peer_state::reading;
    const auto leaving_before = leaving_;
    std::vector<holders::iterator> chosen;
    while (true) {
        const bool too_large = after.large - leaving_.large > max_large;
        if (!too_large && after.all - leaving_.all <= limits_.capacity_bytes)
            break;
        const auto next =
            choose(asking->first, asking->second.kind, for_answer,
                   too_large ? limits_.ordinary_bytes + 1 : 0, now);
        if (next == holders_.end()) {
            // Nobody yields in vain.
            for (const auto one : chosen)
                one->second.yielding = false;
            leaving_ = leaving_before;
            return false;
        }
        next->second.yielding = true;
        add(leaving_, next->second.bytes);
        chosen.push_back(next);
    }
    yields_ += chosen.size();
    for (const auto one : chosen)
        one->second.yield(false);
    return true;
}

bool memory_account::may_yield(const memory_holder& holder, bool for_answer,
                               time_point now) const
{
    const bool stalled = now - holder.progress_at >= duration(stall_time);
    switch (holder.state) {
    case peer_state::served:
        return false;
    case peer_state::reading:
        return stalled || (for_answer && holder.bytes > limits_.ordinary_bytes);
    default:
        return stalled;
    }
}

memory_account::holders::iterator
memory_account::choose(holder_id asking, peer_kind kind, bool for_answer,
                       std::size_t min_bytes, time_point now)
{
    auto chosen = holders_.end();
    for (auto one = holders_.begin(); one != holders_.end(); ++one) {
        const auto& holder = one->second;
        // Told once, a connection yields again only by being closed.
        const bool told = holder.yielding && asking != 0;
        if (one->first == asking || holder.kind != kind || told ||
            holder.bytes < min_bytes || !may_yield(holder, for_answer, now))
            continue;
        const bool first = chosen == holders_.end() ||
                           holder.progress_at < chosen->second.progress_at ||
                           (holder.progress_at == chosen->second.progress_at &&
                            holder.bytes > chosen->second.bytes);
        if (first)
            chosen = one;
    }
    return chosen;
}

} // namespace rosemarydeck
