/** @file ledger_ended_runs.cpp Bounds on the end time of runs. */
#include "ledger/ledger_cmd.hpp"

#include <algorithm>

namespace rosemarydeck
{

namespace
{

using std::chrono::milliseconds;

/** Maximum time from a run's last write to its successor, by the VM's boot
 *  clock. After a longer time, the reading may belong to another boot. */
constexpr milliseconds max_restart_duration{30'000};
/** Age of a run from which it makes do with the clocks of a bare majority. VMs
 *  that died together start within a shorter time of each other, and with fewer
 *  clocks a few wrong ones lengthen the median. */
constexpr milliseconds majority_patience{1'500};
/** Minimum VMs with wall-clock spans: a single clock may have been set back. */
constexpr std::size_t min_wall_clock_vms = 2;

/** @return The newest run of a VM whose first write came after @p after_turn,
 *  or nullptr. */
const ledger_member* successor(const ledger& current, const vm_id& vm,
                               std::uint64_t after_turn)
{
    const ledger_member* newest = nullptr;
    for (const auto& [run, member] : current.members)
        if (member.vm == vm && member.first_turn > after_turn &&
            (newest == nullptr || member.first_turn > newest->first_turn))
            newest = &member;
    return newest;
}

/** @return True if a run had started before the last write of the run that it
 *  replaced on the VM, by the VM's boot clock. A clock that is behind by more
 *  than a restart takes has begun anew. */
bool overlaps(const ledger_member& next, const ledger_member& ended)
{
    const auto before_last_write =
        milliseconds(ended.boot_ms - (next.boot_ms - next.age_ms));
    return !next.boot.empty() && next.boot == ended.boot &&
           before_last_write > milliseconds(0) &&
           before_last_write <= max_restart_duration;
}

/** @return Time in ms for which a run had replaced an ended one at the former's
 *  last known write up to a turn; 0 if unknown. */
std::int64_t replaced_for(const ledger_member& next, const ledger_member& ended,
                          std::uint64_t turn)
{
    if (overlaps(next, ended))
        return 0;
    if (next.turn <= turn)
        return next.age_ms;
    for (auto mark = next.marks.rbegin(); mark != next.marks.rend(); ++mark)
        if (mark->turn <= turn)
            return mark->age_ms;
    return 0;
}

/** @return The same at the last write of the former, or at the present of the
 *  caller if that is the former. */
std::int64_t replaced_for(const ledger_member& next, const ledger_member& ended)
{
    return overlaps(next, ended) ? 0 : next.age_ms;
}

/** Bounds the end by the boot clock of the run's VM, which continues when the
 *  process restarts. */
std::optional<duration> bound_by_vm_clock(const ledger_renewal& renewal,
                                          const ledger_member& ended)
{
    const auto& own = renewal.member;
    const auto span =
        milliseconds(own.boot_ms - replaced_for(own, ended) - ended.boot_ms);
    if (own.vm != ended.vm || own.boot.empty() || own.boot != ended.boot ||
        span < milliseconds(0) || span > max_restart_duration)
        return std::nullopt;
    return span;
}

/** Bounds the end by the caller's boot clock: time since the caller's newest
 *  write that precedes the run's last write, less the age of the run that
 *  replaced it. */
std::optional<duration> bound_by_caller_clock(const ledger_renewal& renewal,
                                              const ledger_member& ended,
                                              std::int64_t replaced_for_ms)
{
    std::optional<duration> shortest;
    for (const auto& write : renewal.own_writes)
        if (write.turn <= ended.turn)
            shortest = milliseconds(renewal.member.boot_ms - write.boot_ms -
                                    replaced_for_ms);
    return shortest;
}

/** @return Unix time in ms of a run's last known write up to a turn. */
std::optional<std::int64_t> wall_time_at(const ledger_member& member,
                                         std::uint64_t turn)
{
    if (member.turn <= turn)
        return member.wall_ms;
    for (auto mark = member.marks.rbegin(); mark != member.marks.rend(); ++mark)
        if (mark->turn <= turn)
            return mark->wall_ms;
    return std::nullopt;
}

/** Time in ms around the end of a run, by the wall clock of each VM. */
struct wall_clock_spans
{
    std::map<vm_id, std::int64_t> known;
    std::size_t vms = 0; ///< All VMs, with and without a span.
};

/**
 * Each VM's span extends from its last write before the run's last write to a
 * write after the run's end, less the time for which another run had then
 * replaced it.
 * @param written The run that replaced it, as of its last write; nullptr if
 *        that is the caller's, which has not written yet.
 * @param replaced_ms Time for which it has replaced it at present.
 */
wall_clock_spans spans_around_end(const ledger& current,
                                  const ledger_renewal& renewal,
                                  const ledger_member& ended,
                                  const ledger_member* written,
                                  std::int64_t replaced_ms)
{
    const auto ended_by_turn =
        written == nullptr ? current.turn + 1 : written->first_turn;
    std::set<vm_id> all;
    wall_clock_spans spans;
    for (const auto& [run, member] : current.members) {
        all.insert(member.vm);
        const auto before = wall_time_at(member, ended.turn);
        if (run == renewal.self || !before)
            continue;
        auto after = renewal.member.wall_ms - replaced_ms;
        if (member.vm != renewal.member.vm) {
            const auto* later = successor(current, member.vm, member.turn);
            if (later == nullptr || later->turn < ended_by_turn)
                continue;
            after = later->wall_ms -
                    (written == nullptr
                         ? 0
                         : replaced_for(*written, ended, later->turn));
        }
        const auto known =
            spans.known.try_emplace(member.vm, after - *before).first;
        known->second = std::min(known->second, after - *before);
    }
    spans.vms = all.size();
    return spans;
}

/**
 * Bounds the end by the wall clocks of more than half of the VMs. Each correct
 * clock gives an upper bound; while at most half of the clocks are wrong, the
 * median is at least one correct bound.
 * @param own_age_ms Age of the caller's run; 0 if unknown.
 */
std::optional<duration> bound_by_wall_clocks(const wall_clock_spans& spans,
                                             std::int64_t own_age_ms)
{
    const auto count = spans.known.size();
    if (count < min_wall_clock_vms || count * 2 <= spans.vms)
        return std::nullopt;
    if (count < spans.vms && own_age_ms > 0 &&
        own_age_ms < majority_patience.count())
        return std::nullopt;
    std::vector<std::int64_t> sorted;
    sorted.reserve(count);
    for (const auto& [vm, span] : spans.known)
        sorted.push_back(span);
    std::sort(sorted.begin(), sorted.end());
    return milliseconds(sorted[sorted.size() / 2]);
}

} // namespace

std::optional<run_end> bound_run_end(const ledger& current,
                                     const ledger_renewal& renewal,
                                     const instance_id& run)
{
    const auto found = current.members.find(run);
    if (found == current.members.end())
        return std::nullopt;
    const auto& ended = found->second;
    if (ended.closed)
        return std::nullopt;
    const auto* written = successor(current, ended.vm, ended.turn);
    // The caller replaced it if it runs on the same VM. One that has written
    // before the other's last write did not.
    const bool by_caller =
        ended.vm == renewal.member.vm &&
        (written != nullptr || current.members.count(renewal.self) == 0);
    if (written == nullptr && !by_caller)
        return std::nullopt;
    const auto replaced_ms =
        replaced_for(by_caller ? renewal.member : *written, ended);
    if (const auto span = bound_by_vm_clock(renewal, ended))
        return run_end{*span, end_clock::own_vm};
    if (const auto span = bound_by_caller_clock(renewal, ended, replaced_ms))
        return run_end{*span, end_clock::caller};
    const auto span = bound_by_wall_clocks(
        spans_around_end(current, renewal, ended, written, replaced_ms),
        renewal.member.age_ms);
    return span ? std::optional(run_end{*span, end_clock::majority})
                : std::nullopt;
}

std::optional<duration> max_time_since_write(const ledger& current,
                                             const ledger_renewal& renewal,
                                             const instance_id& run)
{
    const auto end = bound_run_end(current, renewal, run);
    return end ? std::optional(end->time_since_write) : std::nullopt;
}

std::vector<open_run> open_ended_runs(const ledger& current)
{
    std::vector<open_run> result;
    for (const auto& [run, member] : current.members) {
        if (member.closed ||
            successor(current, member.vm, member.turn) == nullptr)
            continue;
        open_run open{run};
        for (const auto& [customer, account] : current.accounts) {
            const auto share = account.shares.find(run);
            if (share != account.shares.end())
                open.held += share->second.granted - share->second.spent;
        }
        result.push_back(std::move(open));
    }
    return result;
}

bool has_ended_runs(const ledger& current)
{
    return std::any_of(
        current.members.begin(), current.members.end(), [&](const auto& one) {
            const auto& member = one.second;
            return !member.closed &&
                   successor(current, member.vm, member.turn) != nullptr;
        });
}

const char* name_of(end_clock clock)
{
    switch (clock) {
    case end_clock::own_vm:
        return "own_vm";
    case end_clock::caller:
        return "caller";
    case end_clock::majority:
        return "majority";
    case end_clock::none:
        return "none";
    }
    return "none";
}

} // namespace rosemarydeck
