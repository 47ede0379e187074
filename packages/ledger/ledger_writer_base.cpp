/** @file ledger_writer_base.cpp Preparation of a run's ledger shard writes. */
#include "ledger/ledger_writer_base.hpp"

#include <algorithm>

namespace rosemarydeck
{

namespace
{

/** Maximum number of own writes kept. They bound the end of other runs and give
 *  the send time of a write that is read back later. */
constexpr std::size_t max_remembered_writes = 32;

} // namespace

ledger_writer::ledger_writer(ledger_writer_options options,
                             wallet& local_wallet)
    : options_(std::move(options)), wallet_(local_wallet)
{
}

token_count ledger_writer::offset(const customer_id& customer) const
{
    const auto found = offsets_.find(customer);
    return found == offsets_.end() ? 0 : found->second;
}

wallet_usage ledger_writer::usage(const customer_id& customer, time_point now)
{
    auto used = wallet_.sample_usage(customer, now);
    const auto total = used.spent + used.reserved;
    used.spent = std::max<token_count>(0, used.spent - offset(customer));
    used.reserved =
        std::max<token_count>(0, total - offset(customer) - used.spent);
    return used;
}

ledger_write
ledger_writer::prepare(const std::map<customer_id, token_count>& prepaid,
                       const clock_reading& clock)
{
    auto& member = options_.member;
    ++member.beat;
    member.wall_ms = clock.wall_ms;
    member.boot_ms = clock.boot_ms;
    // The monotonic clock leaves out suspended time, which is on the safe side.
    if (options_.started)
        member.age_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                            clock.now - *options_.started)
                            .count();
    ledger_renewal renewal;
    renewal.self = options_.self;
    renewal.member = member;
    renewal.prepaid = prepaid;
    renewal.policy = options_.policy;
    renewal.own_writes = own_writes_;
    for (const auto& [customer, total] : prepaid)
        renewal.usage[customer] = usage(customer, clock.now);
    for (const auto& [run, seen] : observed_beats_)
        if (clock.now - seen.seen > options_.liveness_timeout)
            renewal.expired.insert(run);
    shortages_.clear();
    auto renewed = renew(current_, renewal);
    auto& next = renewed.next;
    for (const auto& [customer, total] : prepaid) {
        auto& shares = next.accounts[customer].shares;
        auto& share = shares[options_.self];
        wallet_terms terms{share, clock.now, offset(customer)};
        wallet_.add_terms(customer, terms);
        share = terms.share;
        const auto headroom = share.granted - share.spent - share.reserved;
        if (headroom < renewal.usage.at(customer).unmet_demand)
            shortages_[customer] = headroom + 1;
    }
    sent_.push_back({member.beat, clock.now});
    if (sent_.size() > max_remembered_writes)
        sent_.pop_front();
    pending_ =
        ledger_write{std::move(next), revision_, std::move(renewed.closings)};
    return *pending_;
}

ledger_write ledger_writer::prepare_close(const clock_reading& clock)
{
    std::map<customer_id, token_count> spent;
    for (const auto& [customer, account] : current_.accounts) {
        const auto used = usage(customer, clock.now);
        // Prevents further reservations whether or not this write succeeds.
        wallet_terms none{{}, clock.now, offset(customer)};
        none.share.spent = used.spent;
        wallet_.add_terms(customer, none);
        spent[customer] = none.share.spent + none.share.reserved;
    }
    pending_ =
        ledger_write{close_run(current_, options_.self, spent), revision_};
    return *pending_;
}

void ledger_writer::written(std::uint64_t revision, time_point now)
{
    if (!pending_)
        return;
    revision_ = revision;
    unanswered_condition_.reset();
    auto done = std::move(pending_->next);
    pending_.reset();
    const auto own = done.members.find(options_.self);
    if (own != done.members.end()) {
        joined_ = true;
        own_writes_.push_back({own->second.turn, own->second.boot_ms});
        if (own_writes_.size() > max_remembered_writes)
            own_writes_.pop_front();
    }
    apply_state(std::move(done), now);
}

void ledger_writer::refreshed(std::optional<ledger> current,
                              std::uint64_t revision, time_point now)
{
    pending_.reset();
    fresh_ = true;
    // Ignores a read older than the known state. The object is never deleted.
    if (!current ? revision_ != 0 : revision < revision_)
        return;
    revision_ = current ? revision : 0;
    if (unanswered_condition_ && *unanswered_condition_ == revision_) {
        // The write without an answer may still take effect: keep its limits.
        current_ = current ? *std::move(current) : ledger{};
        return record_beats(now);
    }
    unanswered_condition_.reset();
    apply_state(current ? *std::move(current) : ledger{}, now);
}

void ledger_writer::unanswered()
{
    if (pending_)
        unanswered_condition_ = pending_->condition;
    pending_.reset();
    fresh_ = false;
}

void ledger_writer::apply_state(ledger current, time_point now)
{
    current_ = std::move(current);
    const auto own = current_.members.find(options_.self);
    if (joined_ && (own == current_.members.end() || own->second.closed))
        reset_closed_run();
    else
        replace_wallet_terms();
    record_beats(now);
}

void ledger_writer::replace_wallet_terms()
{
    const auto own = current_.members.find(options_.self);
    if (own == current_.members.end())
        return;
    const auto write =
        std::find_if(sent_.begin(), sent_.end(), [&](const auto& one) {
            return one.beat == own->second.beat;
        });
    // The write is no longer remembered, so its send time is unknown: the
    // existing terms stay.
    if (write == sent_.end())
        return;
    for (const auto& [customer, account] : current_.accounts) {
        const auto share = account.shares.find(options_.self);
        if (share != account.shares.end())
            wallet_.replace_terms(
                customer, {share->second, write->sent, offset(customer)});
    }
}

void ledger_writer::reset_closed_run()
{
    joined_ = false;
    own_writes_.clear();
    for (const auto& [customer, account] : current_.accounts)
        offsets_[customer] = wallet_.reset_terms(customer);
}

void ledger_writer::record_beats(time_point now)
{
    for (const auto& [run, member] : current_.members) {
        auto& seen = observed_beats_[run];
        if (seen.seen == time_point{} || seen.beat != member.beat)
            seen = {member.beat, now};
    }
    std::erase_if(observed_beats_, [&](const auto& one) {
        return !current_.members.count(one.first);
    });
}

std::uint32_t ledger_writer::live_vms() const
{
    std::set<vm_id> vms{options_.member.vm};
    for (const auto& [run, member] : current_.members)
        if (!member.closed)
            vms.insert(member.vm);
    return static_cast<std::uint32_t>(vms.size());
}

} // namespace rosemarydeck
