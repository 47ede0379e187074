/** @file membership_base.hpp Failure detector and ranking of instances. */
#pragma once

#include "member/member_type.hpp"

#include <map>
#include <string_view>
#include <vector>

namespace rosemarydeck
{

/** Settings of the failure detector. */
struct membership_options
{
    member_info self; ///< This instance.
    /** Time without a heartbeat after which a member is suspected. */
    duration suspect_timeout{};
    /** Length of a member's first probation; doubles with each further one. */
    duration probation{};
    duration max_probation{};
};

/**
 * Failure detector over the heartbeats of other instances. A member without a
 * heartbeat for the timeout is suspected. When its heartbeats return it is on
 * probation, each time for twice as long, up to a maximum. The owner of a
 * customer is chosen among the live members of a data centre by rendezvous
 * hashing over VM names. Two VMs may see different live members; users of this
 * class must stay safe when they do.
 */
class membership
{
public:
    explicit membership(membership_options options);

    /** Records a heartbeat.
     *  @param info The sender.
     *  @return The change of its state, if any. */
    std::vector<member_change> record_heartbeat(const member_info& info,
                                                time_point now);
    /** Suspects a member, for example when its connection is lost. */
    std::vector<member_change> suspect(const instance_id& instance);
    /** Marks a member as gone: it is known to have ended, or has announced its
     *  shutdown. */
    std::vector<member_change> mark_gone(const instance_id& instance);
    /** Suspects the members without a heartbeat for the timeout.
     *  @return The members that are newly suspected. */
    std::vector<member_change> check_timeouts(time_point now);

    /** @return The member, or nullptr; this instance itself is no member. */
    [[nodiscard]] const member_info* find(const instance_id& instance) const;
    /** @return The member's state; gone if it is unknown. */
    [[nodiscard]] member_state state_of(const instance_id& instance) const;
    /** @return True for this instance and for live members. */
    [[nodiscard]] bool is_live(const instance_id& instance) const;
    /** @return Live instances of a data centre, sorted by id, this one
     *  included. */
    [[nodiscard]] const std::vector<instance_id>&
    live_in(const dc_id& data_centre) const;
    /** @return Members in this data centre that are not gone. */
    [[nodiscard]] std::vector<instance_id> members_in_own_data_centre() const;
    /** @return All members that are not gone. */
    [[nodiscard]] std::vector<instance_id> known() const;
    /** @return All live members. */
    [[nodiscard]] std::vector<member_info> live_members() const;
    /** @return Data centres with a live instance, that of this instance
     *  included. */
    [[nodiscard]] std::vector<dc_id> live_data_centres() const;
    /**
     * Ranks the live instances of a data centre for a key.
     * @param key A customer, or another key that needs an owner.
     * @param data_centre The data centre.
     * @return Instances: first the owner, then its backup, then the others.
     */
    [[nodiscard]] std::vector<instance_id>
    ranking(std::string_view key, const dc_id& data_centre) const;
    /** @return This instance. */
    [[nodiscard]] const member_info& self() const { return options_.self; }
    /** @return A number that grows with each change of a member's state. */
    [[nodiscard]] std::uint64_t epoch() const { return epoch_; }

private:
    struct record
    {
        member_info info;
        member_state state = member_state::live;
        time_point last_heartbeat;
        time_point probation_end;
        duration probation{}; ///< Length of the next probation.
    };

    /** Sets a member's state.
     *  @return The change; empty if the member was in this state. */
    std::vector<member_change> set_state(record& member, member_state to);
    void rebuild_live_instances();

    membership_options options_;
    std::map<instance_id, record> members_;
    std::map<dc_id, std::vector<instance_id>> live_instances_;
    std::uint64_t epoch_ = 0;
};

} // namespace rosemarydeck
