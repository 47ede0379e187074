/** @file claim_base.cpp Claims to run a request that may run only once. */
#include "core/claim_base.hpp"

#include <nlohmann/json.hpp>

namespace rosemarydeck
{

namespace
{

const std::string claim_object_prefix = "claims/";
const std::string issued_key_prefix = "order:";
constexpr std::size_t max_issued_keys = 100'000;
constexpr std::size_t max_abandoned_tokens = 100'000;
/** After this time without a result, a claim is unavailable. */
constexpr duration claim_timeout = std::chrono::seconds(4);

/** @return The claim in a JSON text; without claimant if malformed. */
claim_object parse_claim(const std::string& text)
{
    try {
        return nlohmann::json::parse(text).get<claim_object>();
    }
    catch (const nlohmann::json::exception&) {
        return {};
    }
}

} // namespace

claim_registry::claim_registry(core_context& context) : context_(context) {}

idempotency_key claim_registry::issue(const customer_id& customer)
{
    const idempotency_key key(issued_key_prefix + context_.self().value() +
                              ":" + std::to_string(++last_issued_number_));
    if (issued_keys_.size() >= max_issued_keys)
        issued_keys_.erase(issued_keys_.begin());
    issued_keys_.insert({customer, key});
    return key;
}

instance_id claim_registry::issuer_of(const idempotency_key& key)
{
    const auto& text = key.value();
    if (text.rfind(issued_key_prefix, 0) != 0)
        return {};
    const auto end = text.rfind(':');
    if (end < issued_key_prefix.size())
        return {};
    return instance_id(
        text.substr(issued_key_prefix.size(), end - issued_key_prefix.size()));
}

std::optional<claim_result> claim_registry::start(request_id id,
                                                  const customer_id& customer,
                                                  const idempotency_key& key,
                                                  std::uint64_t fingerprint)
{
    if (issuer_of(key) == context_.self())
        return claim_issued(id, {customer, key});
    auto& claim = claims_[id];
    claim.object_name =
        claim_object_prefix + customer.value() + "/" + key.value();
    claim.key = {customer, key};
    claim.content = {context_.self(), id.value(), fingerprint};
    claim.started_at = context_.now;
    create(id, claim);
    return std::nullopt;
}

std::optional<claim_result>
claim_registry::claim_issued(request_id id, const customer_key& key)
{
    // A claim removes the key, so a missing key was claimed or never issued.
    if (issued_keys_.erase(key) == 0)
        return claim_result{id, claim_outcome::elsewhere, context_.self()};
    open_claim claim;
    claim.key = key;
    claim.current_step = step::held;
    claim.by_issued_key = true;
    claims_[id] = claim;
    return claim_result{id, claim_outcome::taken, context_.self()};
}

void claim_registry::create(request_id id, open_claim& claim)
{
    claim.current_step = step::creating;
    context_.platform.call(
        claim_purpose{id},
        create_object{claim.object_name, nlohmann::json(claim.content).dump()});
}

void claim_registry::read(request_id id, open_claim& claim)
{
    claim.current_step = step::reading;
    context_.platform.call(claim_purpose{id}, get_object{claim.object_name});
}

std::optional<claim_result>
claim_registry::on_answer(request_id id, const platform_result& result)
{
    const auto found = claims_.find(id);
    if (found == claims_.end() || found->second.current_step == step::held)
        return std::nullopt;
    auto& claim = found->second;
    if (result && claim.current_step == step::creating) {
        claim.current_step = step::held;
        context_.record(timeline_kind::claim_taken, claim.key.customer,
                        claim.key.key);
        return claim_result{id, claim_outcome::taken, context_.self()};
    }
    if (result)
        return on_claim_read(id, claim, result->objects.front().value);
    const auto code = result.error().code;
    if (code == error_code::already_exists) {
        read(id, claim);
        return std::nullopt;
    }
    if (code == error_code::not_found) {
        create(id, claim);
        return std::nullopt;
    }
    // The create may have taken effect, so the claim has to be read before
    // there is a result.
    if (context_.now - claim.started_at >= claim_timeout) {
        abandon(id);
        return claim_result{id, claim_outcome::unavailable, {}};
    }
    context_.schedule(context_.backoff(claim.failures++), claim_timer{id});
    return std::nullopt;
}

std::optional<claim_result>
claim_registry::on_claim_read(request_id id, open_claim& claim,
                              const std::string& text)
{
    const auto found = parse_claim(text);
    const bool own = found.claimant == context_.self();
    const bool free = own && (found.token == id.value() ||
                              abandoned_tokens_.erase(found.token) > 0);
    if (!free) {
        claims_.erase(id);
        return claim_result{id, claim_outcome::elsewhere, found.claimant};
    }
    claim.content.token = found.token;
    claim.current_step = step::held;
    return claim_result{id, claim_outcome::taken, context_.self()};
}

void claim_registry::on_timer(request_id id)
{
    const auto found = claims_.find(id);
    if (found != claims_.end())
        read(id, found->second);
}

void claim_registry::abandon(request_id id)
{
    const auto found = claims_.find(id);
    if (found == claims_.end())
        return;
    if (found->second.by_issued_key)
        issued_keys_.insert(found->second.key);
    else if (abandoned_tokens_.size() < max_abandoned_tokens)
        abandoned_tokens_.insert(found->second.content.token);
    claims_.erase(found);
}

void claim_registry::keep_taken(request_id id)
{
    claims_.erase(id);
}

} // namespace rosemarydeck
