/** @file ledger_ended_runs.cpp How long an ended run can have been silent. */
#include "ledger/ledger_cmd.hpp"

#include <algorithm>

namespace rosemarydeck
{

namespace
{

using std::chrono::milliseconds;

/** A VM that was off longer may have another start with a like reading. */
constexpr milliseconds longest_restart{30'000};
/** A single clock proves nothing: it may have been set back. */
constexpr std::size_t least_witnesses = 2;

/** @return The newest run of a VM besides a given one, or nullptr. */
const ledger_member* successor(const ledger& now, const vm_id& vm,
                               std::uint64_t after_turn)
{
    const ledger_member* newest = nullptr;
    for (const auto& [run, member] : now.members)
        if (member.vm == vm && member.first_turn > after_turn &&
            (newest == nullptr || member.first_turn > newest->first_turn))
            newest = &member;
    return newest;
}

/** By the clock of the VM itself, which runs on while processes change. */
std::optional<duration> by_own_vm(const ledger_renewal& wish,
                                  const ledger_member& ended)
{
    const auto& own = wish.member;
    const auto span = milliseconds(own.boot_ms - ended.boot_ms);
    if (own.vm != ended.vm || own.boot.empty() || own.boot != ended.boot ||
        span < milliseconds(0) || span > longest_restart)
        return std::nullopt;
    return span;
}

/** By the caller's clock, if it had written before the run last did. */
std::optional<duration> by_observer(const ledger_renewal& wish,
                                    const ledger_member& ended)
{
    std::optional<duration> shortest;
    for (const auto& write : wish.own_writes)
        if (write.turn <= ended.turn)
            shortest = milliseconds(wish.member.boot_ms - write.boot_ms);
    return shortest;
}

/** @return The time of a run's last write no later than a turn. */
std::optional<std::int64_t> wall_before(const ledger_member& member,
                                        std::uint64_t turn)
{
    if (member.turn <= turn)
        return member.wall_ms;
    for (auto mark = member.marks.rbegin(); mark != member.marks.rend(); ++mark)
        if (mark->turn <= turn)
            return mark->wall_ms;
    return std::nullopt;
}

/** By the time of day on most VMs, each measured from its last write before
 *  the run's to one after the run's end. Each honest clock gives a bound; the
 *  median is at least one of them while no more than half are off. */
std::optional<duration> by_wall_clocks(const ledger& now,
                                       const ledger_renewal& wish,
                                       const ledger_member& ended,
                                       std::uint64_t ended_by)
{
    std::set<vm_id> all;
    std::map<vm_id, std::int64_t> spans;
    for (const auto& [run, member] : now.members) {
        all.insert(member.vm);
        const auto before = wall_before(member, ended.turn);
        if (run == wish.self || !before)
            continue;
        auto after = wish.member.wall_ms;
        if (member.vm != wish.member.vm) {
            const auto* next = successor(now, member.vm, member.turn);
            if (next == nullptr || next->turn < ended_by)
                continue;
            after = next->wall_ms;
        }
        const auto known = spans.try_emplace(member.vm, after - *before).first;
        known->second = std::min(known->second, after - *before);
    }
    if (spans.size() < least_witnesses || spans.size() * 2 <= all.size())
        return std::nullopt;
    std::vector<std::int64_t> sorted;
    sorted.reserve(spans.size());
    for (const auto& [vm, span] : spans)
        sorted.push_back(span);
    std::sort(sorted.begin(), sorted.end());
    return milliseconds(sorted[sorted.size() / 2]);
}

} // namespace

std::optional<duration> longest_silence(const ledger& now,
                                        const ledger_renewal& wish,
                                        const instance_id& run)
{
    const auto found = now.members.find(run);
    if (found == now.members.end())
        return std::nullopt;
    const auto& ended = found->second;
    if (ended.closed)
        return std::nullopt;
    const bool own_vm = ended.vm == wish.member.vm;
    const auto* next = successor(now, ended.vm, ended.turn);
    if (next == nullptr && !own_vm)
        return std::nullopt;
    if (const auto span = by_own_vm(wish, ended))
        return span;
    if (const auto span = by_observer(wish, ended))
        return span;
    return by_wall_clocks(now, wish, ended,
                          next == nullptr ? now.turn + 1 : next->first_turn);
}

bool has_ended_runs(const ledger& now)
{
    return std::any_of(
        now.members.begin(), now.members.end(), [&](const auto& one) {
            const auto& member = one.second;
            return !member.closed &&
                   successor(now, member.vm, member.turn) != nullptr;
        });
}

} // namespace rosemarydeck
