/** @file ledger_keeper_base.cpp Keeps this VM's grants in the ledger. */
#include "ledger/ledger_keeper_base.hpp"

#include <algorithm>

namespace rosemarydeck
{

ledger_keeper::ledger_keeper(ledger_keeper_options options, wallet& purse)
    : options_(std::move(options)), purse_(purse)
{
}

token_count ledger_keeper::burnt(const customer_id& customer) const
{
    const auto found = burnt_.find(customer);
    return found == burnt_.end() ? 0 : found->second;
}

ledger_write
ledger_keeper::prepare(const std::map<customer_id, token_count>& prepaid,
                       time_point now)
{
    ledger_renewal wish;
    wish.self = options_.self;
    wish.member = options_.member;
    wish.member.beat = ++options_.member.beat;
    wish.prepaid = prepaid;
    wish.cover_seconds = options_.cover_seconds;
    wish.first_share = options_.first_share;
    wish.usage = purse_.read(now);
    for (auto& [customer, usage] : wish.usage) {
        // Spending within closed grants is charged already.
        const auto closed = std::min(burnt(customer), usage.spent);
        usage.spent -= closed;
        usage.reserved = std::max<token_count>(
            0, usage.reserved - (burnt(customer) - closed));
    }
    for (const auto& [run, seen] : sightings_)
        if (now - seen.seen > options_.silent_after)
            wish.silent.insert(run);
    auto renewed = renew(current_, wish);
    for (const auto& [customer, granted] : renewed.granted) {
        // A reservation may have been made since the wallet was read.
        const auto in_force = purse_.lower(customer, granted + burnt(customer));
        auto& share = renewed.next.accounts[customer].shares[options_.self];
        share.granted = std::max(share.granted, in_force - burnt(customer));
    }
    pending_ = ledger_write{std::move(renewed.next), revision_};
    return *pending_;
}

ledger_write ledger_keeper::prepare_close(time_point now)
{
    std::map<customer_id, token_count> spent;
    for (const auto& [customer, usage] : purse_.read(now)) {
        const auto in_force = purse_.lower(customer, 0);
        spent[customer] = std::max<token_count>(0, in_force - burnt(customer));
    }
    pending_ =
        ledger_write{close_run(current_, options_.self, spent), revision_};
    return *pending_;
}

void ledger_keeper::written(std::uint64_t revision, time_point now)
{
    if (!pending_)
        return;
    revision_ = revision;
    doubtful_.reset();
    const auto done = std::move(pending_->next);
    pending_.reset();
    joined_ = true;
    take_over(done, now);
}

void ledger_keeper::refreshed(std::optional<ledger> current,
                              std::uint64_t revision, time_point now)
{
    pending_.reset();
    revision_ = current ? revision : 0;
    fresh_ = true;
    if (doubtful_ && *doubtful_ == revision_) {
        // The lost write may still be done; nothing may be raised by it yet.
        if (current)
            current_ = *std::move(current);
        return;
    }
    doubtful_.reset();
    take_over(current ? *std::move(current) : ledger{}, now);
}

void ledger_keeper::unanswered()
{
    if (pending_)
        doubtful_ = pending_->condition;
    pending_.reset();
    fresh_ = false;
}

void ledger_keeper::take_over(const ledger& current, time_point now)
{
    if (joined_ && current_.members.count(options_.self) &&
        !current.members.count(options_.self))
        for (const auto& [customer, usage] : purse_.read(now))
            burnt_[customer] = usage.granted;
    current_ = current;
    for (const auto& [customer, account] : current_.accounts) {
        const auto own = account.shares.find(options_.self);
        if (own != account.shares.end())
            purse_.confirm(customer, own->second.granted + burnt(customer));
    }
    for (const auto& [run, member] : current_.members) {
        auto& seen = sightings_[run];
        if (seen.seen == time_point{} || seen.beat != member.beat)
            seen = {member.beat, now};
    }
    std::erase_if(sightings_, [&](const auto& one) {
        return !current_.members.count(one.first);
    });
}

std::uint32_t ledger_keeper::live_runs() const
{
    const auto own = current_.members.count(options_.self);
    return static_cast<std::uint32_t>(current_.members.size() + 1 - own);
}

std::vector<ledger_member> ledger_keeper::others() const
{
    std::vector<ledger_member> result;
    for (const auto& [run, member] : current_.members)
        if (run != options_.self && member.vm != options_.member.vm)
            result.push_back(member);
    return result;
}

token_count ledger_keeper::unspent_of(const customer_id& customer,
                                      token_count prepaid) const
{
    return unspent(current_, customer, prepaid);
}

} // namespace rosemarydeck
