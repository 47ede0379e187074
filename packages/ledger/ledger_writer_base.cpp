/** @file ledger_writer_base.cpp Keeps this VM's grants in the ledger. */
#include "ledger/ledger_writer_base.hpp"

#include <algorithm>

namespace rosemarydeck
{

namespace
{

/** Writes that evidence and late answers may refer to. */
constexpr std::size_t max_remembered = 32;

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
    auto used = wallet_.read(customer, now);
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
    ledger_renewal wish;
    wish.self = options_.self;
    wish.member = member;
    wish.prepaid = prepaid;
    wish.policy = options_.policy;
    wish.own_writes = own_writes_;
    for (const auto& [customer, total] : prepaid)
        wish.usage[customer] = usage(customer, clock.now);
    for (const auto& [run, seen] : sightings_)
        if (clock.now - seen.seen > options_.liveness_timeout)
            wish.silent.insert(run);
    short_.clear();
    auto renewed = renew(current_, wish);
    auto& next = renewed.next;
    for (const auto& [customer, total] : prepaid) {
        auto& shares = next.accounts[customer].shares;
        auto& share = shares[options_.self];
        wallet_terms terms{share, clock.now, offset(customer)};
        wallet_.propose(customer, terms);
        share = terms.share;
        const auto there = share.granted - share.spent - share.held;
        if (there < wish.usage.at(customer).missing)
            short_[customer] = there + 1;
    }
    sent_.push_back({member.beat, clock.now});
    if (sent_.size() > max_remembered)
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
        // Nothing more may be reserved, whatever becomes of this write.
        wallet_terms none{{}, clock.now, offset(customer)};
        none.share.spent = used.spent;
        wallet_.propose(customer, none);
        spent[customer] = none.share.spent + none.share.held;
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
    doubtful_.reset();
    auto done = std::move(pending_->next);
    pending_.reset();
    const auto own = done.members.find(options_.self);
    if (own != done.members.end()) {
        joined_ = true;
        own_writes_.push_back({own->second.turn, own->second.boot_ms});
        if (own_writes_.size() > max_remembered)
            own_writes_.pop_front();
    }
    take_over(std::move(done), now);
}

void ledger_writer::refreshed(std::optional<ledger> current,
                              std::uint64_t revision, time_point now)
{
    pending_.reset();
    fresh_ = true;
    // A read may be older than what is known; the object is never deleted.
    if (!current ? revision_ != 0 : revision < revision_)
        return;
    revision_ = current ? revision : 0;
    if (doubtful_ && *doubtful_ == revision_) {
        // The lost write may still be done, so its share goes on to bind.
        current_ = current ? *std::move(current) : ledger{};
        return note_sightings(now);
    }
    doubtful_.reset();
    take_over(current ? *std::move(current) : ledger{}, now);
}

void ledger_writer::unanswered()
{
    if (pending_)
        doubtful_ = pending_->condition;
    pending_.reset();
    fresh_ = false;
}

void ledger_writer::take_over(ledger current, time_point now)
{
    current_ = std::move(current);
    const auto own = current_.members.find(options_.self);
    if (joined_ && (own == current_.members.end() || own->second.closed))
        start_over();
    else
        bind_wallet();
    note_sightings(now);
}

void ledger_writer::bind_wallet()
{
    const auto own = current_.members.find(options_.self);
    if (own == current_.members.end())
        return;
    const auto write =
        std::find_if(sent_.begin(), sent_.end(), [&](const auto& one) {
            return one.beat == own->second.beat;
        });
    // An older write than those remembered opens from when it is seen.
    if (write == sent_.end())
        return;
    for (const auto& [customer, account] : current_.accounts) {
        const auto share = account.shares.find(options_.self);
        if (share != account.shares.end())
            wallet_.confirm(customer,
                            {share->second, write->sent, offset(customer)});
    }
}

void ledger_writer::start_over()
{
    joined_ = false;
    own_writes_.clear();
    for (const auto& [customer, account] : current_.accounts)
        offsets_[customer] = wallet_.restart(customer);
}

void ledger_writer::note_sightings(time_point now)
{
    for (const auto& [run, member] : current_.members) {
        auto& seen = sightings_[run];
        if (seen.seen == time_point{} || seen.beat != member.beat)
            seen = {member.beat, now};
    }
    std::erase_if(sightings_, [&](const auto& one) {
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
