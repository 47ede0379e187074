/** @file witness_base.hpp Replicas of other owners' records. */
#pragma once

#include "core/core_context_base.hpp"

#include <set>
#include <unordered_map>

namespace rosemarydeck
{

/**
 * Stores replicas of the reservations of other owners (holders of grants) in
 * this data centre. Once a holder is sealed, its records are refused, so the
 * replicas are complete: they show all that the holder can have spent with
 * this VM as its witness.
 */
class witness
{
public:
    explicit witness(core_context& context);

    /** Stores a holder's records, or refuses them if it is sealed. */
    void on_put(const instance_id& from, const witness_put& put);
    /** Marks a holder's bills that the platform has stored. */
    void on_bills_stored(const instance_id& from, const witness_stored& notice);
    /** Records that a holder has sent all records for this witness. */
    void on_synced(const instance_id& from);
    /** @return True if a holder has ever sent all records for this witness. */
    [[nodiscard]] bool synced(const instance_id& holder) const;
    /** @return A key's record, a finished one if there is one, or null. */
    [[nodiscard]] const key_record* find(const customer_id& customer,
                                         const idempotency_key& key) const;
    /** Refuses all further records of a holder. */
    void seal(const instance_id& holder);
    /** @return All records of a holder. */
    [[nodiscard]] std::vector<customer_records>
    records_of(const instance_id& holder) const;
    /** Removes all records of an adopted holder. */
    void forget(const instance_id& holder);
    /** Removes finished, stored records older than the keys' time to live. */
    void remove_expired();
    /** @return Number of records of all holders. */
    [[nodiscard]] std::size_t size() const;

private:
    struct witnessed_customer
    {
        token_count used_total = 0; ///< All that the holder has settled.
        std::unordered_map<idempotency_key, key_record> records;
    };
    using witnessed_holder =
        std::unordered_map<customer_id, witnessed_customer>;

    core_context& context_;
    std::map<instance_id, witnessed_holder> holders_;
    std::set<instance_id> sealed_;
    std::set<instance_id> synced_;
};

} // namespace rosemarydeck
