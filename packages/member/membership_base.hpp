/** @file membership_base.hpp Which VMs are live, and who owns a customer. */
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
    member_info self;
    duration suspect_timeout{};
    duration probation{};     ///< After the first suspicion.
    duration max_probation{}; ///< Probation doubles up to this.
};

/**
 * Judges other VMs by their heartbeats: silence leads to suspicion, and a
 * member that comes back is on probation, the longer the more it flaps.
 * Ownership follows the live members of a data centre by rendezvous hashing
 * over VM names. What rests on it stays safe when two VMs judge differently.
 */
class membership
{
public:
    explicit membership(membership_options options);

    /** A sign of life. @param info Who sent it. @param now The time. */
    std::vector<member_change> record_heartbeat(const member_info& info,
                                                time_point now);
    /** The connection to a member was lost. */
    std::vector<member_change> suspect(const instance_id& instance);
    /** A member has ended for certain, or said goodbye. */
    std::vector<member_change> mark_gone(const instance_id& instance);
    /** Time has passed. @return Members that are now suspected or live. */
    std::vector<member_change> check_timeouts(time_point now);

    /** @return The member, or null; this VM itself is not a member. */
    [[nodiscard]] const member_info* find(const instance_id& instance) const;
    /** @return The member's state; gone if it was never heard. */
    [[nodiscard]] member_state state_of(const instance_id& instance) const;
    /** @return True for this VM and for live members. */
    [[nodiscard]] bool is_live(const instance_id& instance) const;
    /** @return Live instances of a data centre, this one too, by VM name. */
    [[nodiscard]] const std::vector<instance_id>&
    live_in(const dc_id& data_centre) const;
    /** @return Other instances here that are not known to have ended. */
    [[nodiscard]] std::vector<instance_id> possible_peers() const;
    /** @return All members that are not known to have ended. */
    [[nodiscard]] std::vector<instance_id> known() const;
    /** @return All members that are live. */
    [[nodiscard]] std::vector<member_info> live_members() const;
    /** @return Data centres with a live member, this one too. */
    [[nodiscard]] std::vector<dc_id> live_data_centres() const;
    /**
     * Ranks a data centre's live instances for a key.
     * @param key A customer or another thing to place.
     * @param data_centre Where.
     * @return Instances, the owner first, its backup next.
     */
    [[nodiscard]] std::vector<instance_id>
    ranking(std::string_view key, const dc_id& data_centre) const;
    /** @return This VM. */
    [[nodiscard]] const member_info& self() const { return options_.self; }
    /** @return A number that changes whenever the live set does. */
    [[nodiscard]] std::uint64_t epoch() const { return epoch_; }

private:
    struct record
    {
        member_info info;
        member_state state = member_state::live;
        time_point heard;
        time_point trusted_from;
        duration probation{};
    };

    std::vector<member_change> move(record& member, member_state to);
    void rebuild();

    membership_options options_;
    std::map<instance_id, record> members_;
    std::map<dc_id, std::vector<instance_id>> live_;
    std::uint64_t epoch_ = 0;
};

} // namespace rosemarydeck
