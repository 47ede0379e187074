/** @file engine_selector_base.cpp Choice of an engine for a request. */
#include "router/engine_selector_base.hpp"

#include "common/hash_func.hpp"

#include <algorithm>

namespace rosemarydeck
{

const char* name_of(send_outcome outcome)
{
    switch (outcome) {
    case send_outcome::served:
        return "answered";
    case send_outcome::refused:
        return "refused";
    case send_outcome::instance_mismatch:
        return "wrong_instance";
    case send_outcome::unreachable:
        return "unreachable";
    case send_outcome::broken:
        return "broken";
    case send_outcome::abandoned:
        return "abandoned";
    }
    return "unknown";
}

engine_selector::engine_selector(placement_options options) : options_(options)
{
}

token_count
engine_selector::weighted_tokens(const placement_request& request) const
{
    return request.input + request.output * options_.output_token_weight;
}

const engine_selector::record* engine_selector::find(const server_id& id) const
{
    const auto found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second;
}

std::uint32_t engine_selector::open_at(const server_id& engine) const
{
    const auto* known = find(engine);
    return known == nullptr ? 0 : known->open;
}

std::vector<const engine_info*>
engine_selector::candidates(std::span<const engine_info> engines,
                            const std::set<server_id>& tried,
                            time_point now) const
{
    std::vector<const engine_info*> available;
    std::vector<const engine_info*> untried;
    for (const auto& engine : engines) {
        if (tried.count(engine.id) || !takes_requests(engine, now))
            continue;
        const auto* known = find(engine.id);
        untried.push_back(&engine);
        if ((known == nullptr || known->retry_at <= now) &&
            !is_unreachable(engine.data_centre, now))
            available.push_back(&engine);
    }
    return available.empty() ? untried : available;
}

const engine_info*
engine_selector::least_loaded(const std::vector<const engine_info*>& from,
                              std::uint64_t salt) const
{
    const engine_info* best = nullptr;
    double best_load = 0;
    std::uint64_t best_tie = 0;
    for (const auto* engine : from) {
        const auto* known = find(engine->id);
        // 10'000 weighted tokens count as much as one open request.
        const auto load =
            known == nullptr
                ? 0.0
                : (static_cast<double>(known->open) +
                   static_cast<double>(known->open_work) / 10'000.0) /
                      std::max(1.0, static_cast<double>(engine->slots));
        const auto tie = mix_bits(stable_hash(engine->id.value()) ^ salt);
        if (best == nullptr || load < best_load ||
            (load == best_load && tie < best_tie)) {
            best = engine;
            best_load = load;
            best_tie = tie;
        }
    }
    return best;
}

std::optional<placement>
engine_selector::place(const placement_request& request,
                       std::span<const engine_info> engines,
                       const std::set<server_id>& tried, time_point now)
{
    const auto from = candidates(engines, tried, now);
    if (from.empty())
        return std::nullopt;
    placement chosen;
    const auto* pick = least_loaded(from, mix_bits(++placement_count_));
    if (!request.shared_prefix_id.empty()) {
        std::vector<std::string> names;
        token_count total = 0;
        for (const auto* engine : from) {
            names.push_back(engine->id.value());
            const auto* known = find(engine->id);
            total += known == nullptr ? 0 : known->open_work;
        }
        const auto order = rendezvous_order(request.shared_prefix_id, names);
        const auto* home = from[order.front()];
        const auto mean =
            static_cast<double>(total) / static_cast<double>(from.size());
        const auto max_home_work = options_.home_load_factor * mean +
                                   options_.home_slack_per_shared_token *
                                       static_cast<double>(request.shared);
        const auto* known = find(home->id);
        const auto load = known == nullptr ? 0 : known->open_work;
        if (static_cast<double>(load) <= max_home_work)
            pick = home;
        else if (request.shared >= options_.min_fetch_tokens &&
                 home->software == pick->software)
            chosen.fetch_from = *home;
    }
    const auto limit = limits_.find(pick->incarnation());
    if (limit != limits_.end() && limit->second.pace)
        limit->second.pace->use(now);
    const auto cold = cold_.find(pick->incarnation());
    if (cold != cold_.end())
        cold->second.pace.use(now);
    auto& counted = records_[pick->id];
    ++counted.open;
    counted.data_centre = pick->data_centre;
    counted.open_work += weighted_tokens(request);
    chosen.engine = *pick;
    if (chosen.fetch_from && chosen.fetch_from->id == pick->id)
        chosen.fetch_from.reset();
    return chosen;
}

void engine_selector::release(const server_id& engine,
                              const placement_request& request,
                              send_outcome outcome, time_point now)
{
    auto& known = records_[engine];
    known.open -= known.open > 0 ? 1 : 0;
    known.open_work =
        std::max<token_count>(0, known.open_work - weighted_tokens(request));
    record_connectivity(known.data_centre, engine, outcome, now);
    if (outcome != send_outcome::abandoned && outcome != send_outcome::broken)
        known.unreachable = outcome == send_outcome::unreachable;
    switch (outcome) {
    case send_outcome::served:
        known.failures = 0;
        known.retry_at = {};
        break;
    case send_outcome::refused:
        known.retry_at = now + options_.initial_retry_backoff / 2;
        break;
    case send_outcome::unreachable:
    case send_outcome::broken: {
        const auto shift = std::min<std::uint32_t>(known.failures++, 4);
        known.retry_at =
            now + std::min(options_.max_retry_backoff,
                           options_.initial_retry_backoff * (1U << shift));
        break;
    }
    case send_outcome::instance_mismatch:
        known.retry_at = now + options_.max_retry_backoff;
        break;
    case send_outcome::abandoned:
        break;
    }
}

void engine_selector::record_reachable(const server_id& engine)
{
    const auto found = records_.find(engine);
    if (found == records_.end())
        return;
    found->second.unreachable = false;
    found->second.retry_at = {};
    connectivity_[found->second.data_centre].unreachable.clear();
}

bool engine_selector::reaches_any(
    std::span<const engine_info> engines,
    const std::optional<stream_origin>& origin) const
{
    bool any = false;
    for (const auto& engine : engines) {
        if (origin && !origin->matches(engine))
            continue;
        any = true;
        const auto* known = find(engine.id);
        if (known == nullptr || !known->unreachable)
            return true;
    }
    return !any;
}

bool engine_selector::is_unreachable(const dc_id& centre, time_point now) const
{
    const auto found = connectivity_.find(centre);
    return found != connectivity_.end() &&
           found->second.unreachable.size() >=
               options_.min_unreachable_engines &&
           now < found->second.last_failure + options_.data_centre_cooldown;
}

void engine_selector::record_connectivity(const dc_id& centre,
                                          const server_id& engine,
                                          send_outcome outcome, time_point now)
{
    auto& known = connectivity_[centre];
    if (outcome == send_outcome::unreachable) {
        known.unreachable.insert(engine);
        known.last_failure = now;
    }
    else if (outcome == send_outcome::served ||
             outcome == send_outcome::refused) {
        known.unreachable.clear();
    }
}

bool engine_selector::is_leaving(const engine_info& engine) const
{
    return !departures_.empty() && departures_.count(engine.incarnation()) > 0;
}

time_point engine_selector::available_from(const engine_info& engine,
                                           time_point now) const
{
    const auto* known = find(engine.id);
    auto available = known == nullptr ? now : known->rest_until;
    const auto* limit = find_limit(engine);
    if (limit != nullptr && limit->pace)
        available = std::max(available, limit->pace->next(now));
    const auto cold =
        cold_.empty() ? cold_.end() : cold_.find(engine.incarnation());
    if (cold != cold_.end() && cold->second.state.until > now)
        available = std::max(available, std::min(cold->second.pace.next(now),
                                                 cold->second.state.until));
    return available;
}

bool engine_selector::takes_requests(const engine_info& engine,
                                     time_point now) const
{
    return !is_leaving(engine) && available_from(engine, now) <= now &&
           !is_part_used(engine);
}

std::optional<engine_notice>
engine_selector::record_leaving(const engine_info& engine, time_point now)
{
    const bool known = is_leaving(engine);
    departures_[engine.incarnation()] = now;
    if (known)
        return std::nullopt;
    return engine_notice{.leaving = true};
}

void engine_selector::record_rest(const server_id& engine, time_point until)
{
    auto& rest = records_[engine].rest_until;
    rest = std::max(rest, until);
}

std::optional<time_point>
engine_selector::rest_end(std::span<const engine_info> engines,
                          time_point now) const
{
    std::optional<time_point> earliest;
    for (const auto& engine : engines) {
        if (is_leaving(engine))
            continue;
        const auto available = available_from(engine, now);
        if (available <= now)
            return std::nullopt;
        earliest = std::min(earliest.value_or(available), available);
    }
    return earliest;
}

} // namespace rosemarydeck
