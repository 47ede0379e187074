/** @file claim_base.hpp The right to run a request that may run only once. */
#pragma once

#include "common/json_type.hpp"
#include "core/core_context_base.hpp"

#include <functional>
#include <map>
#include <set>
#include <unordered_map>

namespace rosemarydeck
{

/** What a claim in the platform says. */
struct claim_object
{
    instance_id claimant;
    std::uint64_t token = 0; ///< The claimant's request number.
    std::uint64_t fingerprint = 0;

    bool operator==(const claim_object&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(claim_object);

/** How a claim ended. */
enum class claim_outcome
{
    taken,       ///< This request may run, and no other ever will.
    elsewhere,   ///< Another instance has the claim.
    unavailable, ///< Not taken, and this request will never run.
};

/** The end of a claim. */
struct claim_result
{
    request_id id;
    claim_outcome outcome = claim_outcome::unavailable;
    instance_id claimant;

    bool operator==(const claim_result&) const = default;
};

/**
 * Takes claims by conditional create in the platform. Keys that this
 * instance has handed out need no platform: only this instance may ever
 * claim them.
 */
class claim_registry
{
public:
    explicit claim_registry(core_context& context);

    /** Hands out a key that only this instance may claim. */
    idempotency_key issue(const customer_id& customer);
    /** @return The instance that handed a key out, or empty. */
    [[nodiscard]] static instance_id issuer_of(const idempotency_key& key);

    /** Starts a claim. @return The result, if it is known at once. */
    std::optional<claim_result> start(request_id id,
                                      const customer_id& customer,
                                      const idempotency_key& key,
                                      std::uint64_t fingerprint);
    /** A claim's platform call is answered. @return The result, if known. */
    std::optional<claim_result> on_answer(request_id id,
                                          const platform_result& result);
    /** Time to ask the platform again. */
    void on_timer(request_id id);
    /** A claimed request certainly did not run and never will. */
    void abandon(request_id id);
    /** A claimed request has been sent to a backend server. */
    void mark_dispatched(request_id id);

private:
    enum class step
    {
        creating,
        reading,
        held,
    };
    struct open_claim
    {
        std::string name;
        customer_key key;
        claim_object wanted;
        step at = step::creating;
        unsigned failures = 0;
        time_point since;
        bool by_issue = false;
    };

    void create(request_id id, open_claim& claim);
    void read(request_id id, open_claim& claim);
    std::optional<claim_result> on_found(request_id id, open_claim& claim,
                                         const std::string& text);
    std::optional<claim_result> claim_issued(request_id id,
                                             const customer_key& key);

    core_context& context_;
    std::unordered_map<request_id, open_claim> claims_;
    /** Tokens of claims that were given up; the next try may use them. */
    std::set<std::uint64_t> given_up_;
    std::set<customer_key> issued_;
    std::uint64_t last_issued_ = 0;
};

} // namespace rosemarydeck
