/** @file witness_base.hpp Records that this VM keeps for other owners. */
#pragma once

#include "core/core_context_base.hpp"

#include <set>
#include <unordered_map>

namespace rosemarydeck
{

/**
 * Keeps what owners of this data centre tell about their reservations. Once
 * a holder is sealed, nothing more is taken from it, so what is kept is all
 * that it can have done with this VM as its witness.
 */
class witness
{
public:
    explicit witness(core_context& context);

    /** A holder's records; answers that they are kept, or sealed. */
    void on_put(const instance_id& from, const witness_put& put);
    /** Bills of a holder that the platform has stored. */
    void on_bills_stored(const instance_id& from, const witness_stored& notice);
    /** A holder has told this VM all that it holds. */
    void on_synced(const instance_id& from);
    /** @return True if a holder has ever told this VM all. */
    [[nodiscard]] bool synced(const instance_id& holder) const;
    /** @return What any holder has told of a key, or null. */
    [[nodiscard]] const key_record* find(const customer_id& customer,
                                         const idempotency_key& key) const;
    /** Takes nothing more from a holder. */
    void seal(const instance_id& holder);
    /** @return All that is kept of a holder. */
    [[nodiscard]] std::vector<customer_records>
    records_of(const instance_id& holder) const;
    /** Drops what is kept of an adopted holder. */
    void forget(const instance_id& holder);
    /** Drops finished records whose window is over. */
    void remove_expired();
    /** @return Records kept of all holders. */
    [[nodiscard]] std::size_t size() const;

private:
    struct kept_customer
    {
        token_count used_total = 0;
        std::unordered_map<idempotency_key, key_record> records;
    };
    using kept_holder = std::unordered_map<customer_id, kept_customer>;

    core_context& context_;
    std::map<instance_id, kept_holder> holders_;
    std::set<instance_id> sealed_;
    std::set<instance_id> synced_;
};

} // namespace rosemarydeck
