/** @file claim_base.hpp Claims to run a request that may run only once. */
#pragma once

#include "common/json_type.hpp"
#include "core/core_context_base.hpp"

#include <functional>
#include <map>
#include <set>
#include <unordered_map>

namespace rosemarydeck
{

/** Content of a claim object in the platform. */
struct claim_object
{
    instance_id claimant;          ///< Instance that took the claim.
    std::uint64_t token = 0;       ///< Number of the request at the claimant.
    std::uint64_t fingerprint = 0; ///< Hash of method, path and body.

    bool operator==(const claim_object&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(claim_object);

/** How a claim ended. */
enum class claim_outcome
{
    taken,       ///< Only this request may run.
    elsewhere,   ///< The claim belongs to another request or instance.
    unavailable, ///< The platform gave no answer; this request must not run.
};

/** Result of a claim. */
struct claim_result
{
    request_id id;
    claim_outcome outcome = claim_outcome::unavailable;
    instance_id claimant; ///< Who has the claim; empty if unavailable.

    bool operator==(const claim_result&) const = default;
};

/**
 * Claims the right to run requests that may run only once. A claim is an
 * object in the platform that can be created only once for a key. Keys that
 * an instance has issued are claimed in its memory, as only the issuer may
 * claim them.
 */
class claim_registry
{
public:
    explicit claim_registry(core_context& context);

    /** Issues a key that only this instance may claim. */
    idempotency_key issue(const customer_id& customer);
    /** @return The instance that issued a key; empty for a caller's key. */
    [[nodiscard]] static instance_id issuer_of(const idempotency_key& key);

    /** Starts a claim. @return The result, if it is known at once. */
    std::optional<claim_result> start(request_id id,
                                      const customer_id& customer,
                                      const idempotency_key& key,
                                      std::uint64_t fingerprint);
    /** Handles the platform's answer. @return The result, if it is known. */
    std::optional<claim_result> on_answer(request_id id,
                                          const platform_result& result);
    /** Reads the claim again after a failed call. */
    void on_timer(request_id id);
    /** Releases the claim of a request that did not run and never will. */
    void abandon(request_id id);
    /** Keeps a claim taken for good, as its request may have run. */
    void keep_taken(request_id id);

private:
    enum class step
    {
        creating,
        reading,
        held,
    };
    struct open_claim
    {
        std::string object_name;
        customer_key key;
        claim_object content;
        step current_step = step::creating;
        unsigned failures = 0;
        time_point started_at;
        bool by_issued_key = false; ///< Claimed in memory, not by an object.
    };

    void create(request_id id, open_claim& claim);
    void read(request_id id, open_claim& claim);
    std::optional<claim_result> on_claim_read(request_id id, open_claim& claim,
                                              const std::string& text);
    std::optional<claim_result> claim_issued(request_id id,
                                             const customer_key& key);

    core_context& context_;
    std::unordered_map<request_id, open_claim> claims_;
    /** Tokens of abandoned claims, which a later request may take over. */
    std::set<std::uint64_t> abandoned_tokens_;
    /** Keys that were issued and not claimed yet. */
    std::set<customer_key> issued_keys_;
    std::uint64_t last_issued_number_ = 0;
};

} // namespace rosemarydeck
