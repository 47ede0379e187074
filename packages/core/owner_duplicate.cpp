/** @file owner_duplicate.cpp Keys billed by two owners: one is reversed. */
#include "core/owner_base.hpp"

#include "core/bill_writer_base.hpp"
#include "core/witness_base.hpp"

#include <algorithm>

namespace rosemarydeck
{

namespace
{

constexpr std::size_t max_digest_keys = 500;
/** Keys billed just before a VM is suspected may not have reached it. */
constexpr std::int64_t apart_margin_us = 5'000'000;

/** @return True if the left bill stands and the right one is reversed. */
bool stands_before(const billed_key& left, const instance_id& left_owner,
                   const billed_key& right, const instance_id& right_owner)
{
    if (left.at_us != right.at_us)
        return left.at_us < right.at_us;
    return left_owner < right_owner;
}

} // namespace

bool owner::may_share(const member_info& member, const logged_key& entry) const
{
    // Here, two VMs bill the same key only if they did not see each other
    // then; elsewhere, the owner may have billed a retry at any time.
    const bool is_here = member.data_centre == context_.data_centre();
    const auto up = up_since_.find(member.instance);
    const bool was_apart = up == up_since_.end() ||
                           entry.billed.at_us < to_microseconds(up->second);
    if (is_here)
        return was_apart || entry.adopted;
    const auto ranked = context_.members.ranking(entry.billed.customer.value(),
                                                 member.data_centre);
    return was_apart || ranked.front() == member.instance;
}

bool owner::is_charged(const owned_key& entry) const
{
    const bool counted_here = entry.holder == context_.self() || entry.adopted;
    return counted_here && entry.booked && !entry.record.reversed &&
           entry.record.state == key_state::finished;
}

void owner::on_member_down(const instance_id& instance)
{
    down_since_[instance] = context_.now;
}

void owner::share_again(const instance_id& mate)
{
    // While two VMs of this data centre were apart, other data centres may
    // have told the wrong one; now each knows the other's keys.
    const auto* member = context_.members.find(mate);
    const auto down = down_since_.find(mate);
    if (down == down_since_.end() ||
        member->data_centre != context_.data_centre())
        return;
    const auto apart = to_microseconds(down->second) - apart_margin_us;
    const auto first = std::find_if(
        billed_log_.begin(), billed_log_.end(),
        [&](const auto& entry) { return entry.billed.at_us >= apart; });
    const auto place =
        log_start_ + static_cast<std::uint64_t>(first - billed_log_.begin());
    for (auto& [instance, cursor] : digest_cursors_)
        cursor = std::min(cursor, place);
}

void owner::send_digests()
{
    for (const auto& member : context_.members.live_members()) {
        auto& cursor = digest_cursors_[member.instance];
        cursor = std::max(cursor, log_start_);
        const auto end = log_start_ + billed_log_.size();
        if (cursor == end)
            continue;
        billed_digest digest{cursor, {}, {}};
        for (; digest.until < end && digest.keys.size() < max_digest_keys;
             ++digest.until) {
            const auto& entry = billed_log_[digest.until - log_start_];
            if (may_share(member, entry))
                digest.keys.push_back(entry.billed);
        }
        if (digest.keys.empty())
            cursor = digest.until;
        else
            context_.send(member.instance, std::move(digest));
    }
}

void owner::on_digest(const instance_id& from, const billed_digest& digest)
{
    const auto& origin = digest.origin.empty() ? from : digest.origin;
    digest_reply reply{digest.origin.empty() ? digest.until : 0, {}};
    for (const auto& theirs : digest.keys) {
        const auto state = customers_.find(theirs.customer);
        const auto* entry = state == customers_.end()
                                ? nullptr
                                : find_key(state->second, theirs.key);
        if (entry == nullptr || !is_charged(*entry)) {
            pass_on(origin, theirs);
            continue;
        }
        const billed_key ours{theirs.customer, theirs.key,
                              entry->record.charge.at_us};
        if (stands_before(ours, context_.self(), theirs, origin))
            reply.duplicates.push_back({theirs.customer, theirs.key});
        else
            reverse(theirs.customer, theirs.key);
    }
    context_.send(origin, std::move(reply));
}

const owner::owned_key* owner::find_key(const owned_customer& state,
                                        const idempotency_key& key)
{
    const auto found = state.keys.find(key);
    return found == state.keys.end() ? nullptr : &found->second;
}

void owner::pass_on(const instance_id& origin, const billed_key& theirs)
{
    // An earlier owner here may have billed it; this VM is its witness.
    const auto* record = kept_.find(theirs.customer, theirs.key);
    if (record == nullptr || record->state != key_state::finished)
        return;
    const auto& holder = record->charge.holder;
    if (holder != origin && holder != context_.self() &&
        context_.members.is_live(holder))
        context_.send(holder, billed_digest{0, origin, {theirs}});
}

void owner::on_digest_reply(const instance_id& from, const digest_reply& reply)
{
    auto& cursor = digest_cursors_[from];
    cursor = std::max(cursor, reply.until);
    for (const auto& each : reply.duplicates)
        reverse(each.customer, each.key);
}

void owner::reverse(const customer_id& customer, const idempotency_key& key)
{
    auto& state = customer_of(customer);
    const auto found = state.keys.find(key);
    if (found == state.keys.end() || !is_charged(found->second))
        return;
    auto& entry = found->second;
    entry.record.reversed = true;
    const auto net = entry.record.charge.net();
    auto back = entry.record.charge;
    back.reversal = true;
    back.holder = context_.self();
    bills_.add(back);
    state.pool.reverse(net);
    state.promised_total -= net;
    replicate(customer, state, {key});
    want_renewal(customer, state, context_.options.renewal_interval);
    context_.record(timeline_kind::bill_reversed, customer, key,
                    std::to_string(net));
}

} // namespace rosemarydeck
