/** @file owner_duplicate.cpp Detection and reversal of duplicate bills. */
#include "core/owner_base.hpp"

#include "core/bill_writer_base.hpp"
#include "core/witness_base.hpp"

#include <algorithm>

namespace rosemarydeck
{

namespace
{

constexpr std::size_t max_keys_per_digest = 500;
/** Messages sent up to this long before a suspicion may be lost. */
constexpr std::int64_t suspicion_margin_us = 5'000'000;

/** @return True if the left bill stands and the right one is reversed. */
bool stands_before(const billed_key& left, const instance_id& left_owner,
                   const billed_key& right, const instance_id& right_owner)
{
    if (left.at_us != right.at_us)
        return left.at_us < right.at_us;
    return left_owner < right_owner;
}

} // namespace

bool owner::may_have_billed(const member_info& member,
                            const logged_key& entry) const
{
    // Two VMs of one data centre bill the same key only while they are not
    // connected. The owner in another data centre may bill a retry at any
    // time.
    const bool same_data_centre = member.data_centre == context_.data_centre();
    const auto up = up_since_.find(member.instance);
    const bool billed_before_contact =
        up == up_since_.end() ||
        entry.billed.at_us < to_microseconds(up->second);
    if (same_data_centre)
        return billed_before_contact || entry.adopted;
    const auto ranked = context_.members.ranking(entry.billed.customer.value(),
                                                 member.data_centre);
    return billed_before_contact || ranked.front() == member.instance;
}

bool owner::is_charged(const owned_key& entry) const
{
    const bool counted_here = entry.holder == context_.self() || entry.adopted;
    return counted_here && entry.counted_in_pool && !entry.record.reversed &&
           entry.record.state == key_state::finished;
}

void owner::on_member_down(const instance_id& instance)
{
    down_since_[instance] = context_.now;
}

void owner::rewind_digest_cursors(const instance_id& peer)
{
    // While two VMs of this data centre were not connected, another data
    // centre may have sent its digests to the one that did not bill the key.
    // Now each can forward to the other, so the digests are sent again.
    const auto* member = context_.members.find(peer);
    const auto down = down_since_.find(peer);
    if (down == down_since_.end() ||
        member->data_centre != context_.data_centre())
        return;
    const auto separated_at_us =
        to_microseconds(down->second) - suspicion_margin_us;
    const auto first = std::find_if(
        billed_log_.begin(), billed_log_.end(), [&](const auto& entry) {
            return entry.billed.at_us >= separated_at_us;
        });
    const auto first_position =
        billed_log_start_ +
        static_cast<std::uint64_t>(first - billed_log_.begin());
    for (auto& [instance, cursor] : digest_cursors_)
        cursor = std::min(cursor, first_position);
}

void owner::send_digests()
{
    for (const auto& member : context_.members.live_members()) {
        auto& cursor = digest_cursors_[member.instance];
        cursor = std::max(cursor, billed_log_start_);
        const auto end = billed_log_start_ + billed_log_.size();
        if (cursor == end)
            continue;
        billed_digest digest{cursor, {}, {}};
        for (; digest.until < end && digest.keys.size() < max_keys_per_digest;
             ++digest.until) {
            const auto& entry = billed_log_[digest.until - billed_log_start_];
            if (may_have_billed(member, entry))
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
            forward_billed_key(origin, theirs);
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

void owner::forward_billed_key(const instance_id& origin,
                               const billed_key& theirs)
{
    // An earlier owner in this data centre may have billed the key, with
    // this VM as its witness.
    const auto* record = witness_.find(theirs.customer, theirs.key);
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
    auto& state = customer_state(customer);
    const auto found = state.keys.find(key);
    if (found == state.keys.end() || !is_charged(found->second))
        return;
    auto& entry = found->second;
    entry.record.reversed = true;
    const auto net = entry.record.charge.net();
    auto reversal_bill = entry.record.charge;
    reversal_bill.reversal = true;
    reversal_bill.holder = context_.self();
    bill_writer_.add(reversal_bill);
    state.pool.reverse(net);
    state.finished_net_total -= net;
    replicate(customer, state, {key});
    schedule_renewal(customer, state, context_.options.grant_renewal_interval);
    context_.record(timeline_kind::bill_reversed, customer, key,
                    std::to_string(net));
}

} // namespace rosemarydeck
