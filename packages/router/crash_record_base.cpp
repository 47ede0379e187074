/** @file crash_record_base.cpp Record of requests that crash engines. */
#include "router/crash_record_base.hpp"

#include "router/request_trait_func.hpp"

#include <algorithm>

namespace rosemarydeck
{

namespace
{

bool any_sent_in_doubt(const crashed_engines& engines)
{
    return std::any_of(engines.begin(), engines.end(),
                       [](const auto& one) { return one.second; });
}

bool same_engines(const crashed_engines& left, const crashed_engines& right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](const auto& one, const auto& other) {
                          return one.first == other.first;
                      });
}

template <class Engines>
bool contains(const std::map<request_trait, Engines>& map,
              const request_trait& trait, const server_id& engine)
{
    const auto found = map.find(trait);
    return found != map.end() && found->second.count(engine) > 0;
}

template <class Map>
void erase_empty(Map& map)
{
    std::erase_if(map, [](const auto& one) { return one.second.empty(); });
}

} // namespace

crash_record::crash_record(crash_options options) : options_(options) {}

bool crash_record::suspicion::sufficient(const crash_options& options) const
{
    const auto crashed = engines.size();
    const bool probable =
        crashed >= options.certain_crashed_engines ||
        static_cast<double>(crashed) >=
            options.min_crash_share * static_cast<double>(all_crashed);
    return crashed >= options.min_crashed_engines && probable &&
           any_sent_in_doubt(engines);
}

void crash_record::learn(const request_trait& trait, const server_id& engine,
                         time_point now)
{
    auto& known = knowledge_[trait];
    known.changed = now;
    known.learned.emplace(engine, now);
    learned_crashes_.emplace(engine, now);
}

void crash_record::record_crash(const crash_sighting& sighting, time_point now)
{
    for (const auto& trait : sighting.traits) {
        const auto& learned = knowledge_[trait].learned;
        // A request that comes back with the same body blocks only itself.
        const auto doubt_time =
            is_part(trait) ? options_.min_doubt_time : duration{};
        const bool in_doubt =
            std::any_of(learned.begin(), learned.end(), [&](const auto& one) {
                return one.first != sighting.engine &&
                       one.second + doubt_time < sighting.sent;
            });
        own_crashes_[trait].try_emplace(sighting.engine,
                                        own_crash{in_doubt, now});
        learn(trait, sighting.engine, now);
    }
    limit_size(now);
}

bool crash_record::record_served(const std::vector<request_trait>& traits,
                                 time_point answer_began, time_point now)
{
    bool publish = false;
    for (const auto& trait : traits) {
        const auto found = knowledge_.find(trait);
        if (found == knowledge_.end())
            continue;
        auto& known = found->second;
        known.changed = now;
        known.served =
            std::max(known.served.value_or(answer_began), answer_began);
        // A single crash blocks nothing, so nobody need hear of it.
        const bool worth_publishing = known.learned.size() > 1;
        if (!worth_publishing && own_crashes_.count(trait))
            cleared_unpublished_.insert(trait);
        std::erase_if(known.learned, [&](const auto& one) {
            if (one.second > answer_began)
                return false;
            own_cleared_[trait].insert(one.first);
            known.cleared_before = true;
            publish = publish || worth_publishing;
            return true;
        });
    }
    return publish;
}

void crash_record::record_refused(const std::vector<request_trait>& traits,
                                  time_point now)
{
    for (const auto& trait : traits) {
        const auto held = holds_.find(trait);
        if (held != holds_.end())
            held->second.until = now + options_.block_ttl;
    }
}

void crash_record::record_trial(const trait_combination& combination,
                                time_point now)
{
    for (const auto& trait : combination) {
        const auto held = holds_.find(trait);
        if (held == holds_.end())
            continue;
        held->second.trial_interval *= 4;
        held->second.next_trial = now + held->second.trial_interval;
    }
}

std::vector<trait_combination> crash_record::due_trials(time_point now) const
{
    auto due = blocked_;
    std::erase_if(due, [&](const auto& combination) {
        return !std::all_of(
            combination.begin(), combination.end(), [&](const auto& trait) {
                const auto held = holds_.find(trait);
                return held != holds_.end() && held->second.next_trial <= now;
            });
    });
    return due;
}

bool crash_record::replace_peer_crashes(const vm_id& vm, vm_crashes published,
                                        time_point now)
{
    bool publish = false;
    for (const auto& [trait, engines] : published.crashes)
        for (const auto& [engine, in_doubt] : engines) {
            if (!contains(own_cleared_, trait, engine))
                learn(trait, engine, now);
            publish = publish || cleared_unpublished_.count(trait) > 0;
        }
    auto& report = reports_[vm];
    for (const auto& [trait, engines] : report.published.crashes) {
        if (!is_held(trait, now))
            continue;
        crashed_engines dropped = engines;
        std::erase_if(dropped, [&, &name = trait](const auto& one) {
            return contains(published.crashes, name, one.first) ||
                   contains(published.cleared, name, one.first) ||
                   is_cleared(name, one.first);
        });
        adopt(trait, dropped, now);
        publish = publish || !dropped.empty();
    }
    report = {std::move(published), now};
    return publish;
}

void crash_record::adopt(const request_trait& trait,
                         const crashed_engines& engines, time_point now)
{
    for (const auto& [engine, in_doubt] : engines) {
        own_crashes_[trait].try_emplace(engine, own_crash{in_doubt, now});
        learn(trait, engine, now);
    }
}

void crash_record::restore_own(const vm_crashes& published, time_point now)
{
    for (const auto& [trait, engines] : published.crashes)
        adopt(trait, engines, now);
    for (const auto& [trait, engines] : published.cleared)
        own_cleared_[trait].insert(engines.begin(), engines.end());
}

bool crash_record::is_held(const request_trait& trait, time_point now) const
{
    const auto held = holds_.find(trait);
    return held != holds_.end() && now < held->second.until;
}

bool crash_record::is_cleared(const request_trait& trait,
                              const server_id& engine) const
{
    return contains(cleared_, trait, engine);
}

void crash_record::combine_reports()
{
    cleared_ = own_cleared_;
    listed_by_peers_.clear();
    open_.clear();
    for (const auto& [vm, report] : reports_)
        for (const auto& [trait, engines] : report.published.cleared)
            cleared_[trait].insert(engines.begin(), engines.end());
    const auto add = [&](const request_trait& trait, const server_id& engine,
                         bool in_doubt) {
        if (!is_cleared(trait, engine)) {
            auto& flag = open_[trait][engine];
            flag = flag || in_doubt;
        }
    };
    for (const auto& [trait, engines] : own_crashes_)
        for (const auto& [engine, crash] : engines)
            add(trait, engine, crash.sent_in_doubt);
    for (const auto& [vm, report] : reports_)
        for (const auto& [trait, engines] : report.published.crashes)
            for (const auto& [engine, in_doubt] : engines) {
                listed_by_peers_[trait].insert(engine);
                add(trait, engine, in_doubt);
            }
}

std::vector<crash_record::suspicion>
crash_record::candidates(time_point now) const
{
    std::vector<suspicion> found;
    for (const auto& [trait, engines] : open_) {
        const auto known = knowledge_.find(trait);
        suspicion one{trait, engines};
        one.all_crashed = crashed_since(engines);
        if (known != knowledge_.end()) {
            const auto& served = known->second.served;
            if (served && now < *served + options_.served_period)
                continue;
            one.cleared_before = known->second.cleared_before;
        }
        if (one.sufficient(options_))
            found.push_back(std::move(one));
    }
    std::sort(found.begin(), found.end(),
              [](const auto& left, const auto& right) {
                  if (left.cleared_before != right.cleared_before)
                      return right.cleared_before;
                  return left.engines.size() > right.engines.size();
              });
    return found;
}

std::size_t crash_record::crashed_since(const crashed_engines& engines) const
{
    std::optional<time_point> first;
    for (const auto& [engine, in_doubt] : engines) {
        const auto known = learned_crashes_.find(engine);
        if (known != learned_crashes_.end())
            first = std::min(first.value_or(known->second), known->second);
    }
    return static_cast<std::size_t>(std::count_if(
        learned_crashes_.begin(), learned_crashes_.end(),
        [&](const auto& one) { return first && one.second >= *first; }));
}

void crash_record::update(time_point now)
{
    expire(now);
    blocked_.clear();
    auto left = candidates(now);
    while (!left.empty()) {
        const auto explained = left.front().engines;
        trait_combination combination;
        for (const auto& one : left)
            if (same_engines(one.engines, explained))
                combination.insert(one.trait);
        for (const auto& trait : combination)
            holds_.try_emplace(trait, hold{now + options_.block_ttl,
                                           now + options_.first_trial_after,
                                           options_.first_trial_after});
        blocked_.push_back(std::move(combination));
        for (auto& one : left)
            std::erase_if(one.engines, [&](const auto& engine) {
                return explained.count(engine.first) > 0;
            });
        std::erase_if(
            left, [&](const auto& one) { return !one.sufficient(options_); });
    }
}

vm_crashes crash_record::own() const
{
    vm_crashes result;
    for (const auto& [trait, engines] : own_crashes_)
        for (const auto& [engine, crash] : engines)
            result.crashes[trait][engine] = crash.sent_in_doubt;
    result.cleared = own_cleared_;
    return result;
}

std::set<request_trait> crash_record::suspected() const
{
    std::set<request_trait> result;
    for (const auto& [trait, engines] : open_)
        result.insert(trait);
    return result;
}

void crash_record::expire(time_point now)
{
    std::erase_if(holds_,
                  [&](const auto& one) { return one.second.until <= now; });
    // The report of a VM that has ended may never be withdrawn.
    for (auto& [vm, report] : reports_)
        if (report.received + options_.crash_ttl <= now)
            std::erase_if(report.published.crashes, [&](const auto& one) {
                return !is_held(one.first, now);
            });
    combine_reports();
    std::size_t erased = 0;
    for (auto& [trait, engines] : own_crashes_) {
        const bool held = is_held(trait, now);
        erased += std::erase_if(engines, [&, &name = trait](const auto& one) {
            const bool expired =
                one.second.recorded + options_.crash_ttl <= now;
            return (expired && !held) || is_cleared(name, one.first);
        });
    }
    erase_empty(own_crashes_);
    // A cleared crash need be published only while another VM lists it.
    for (auto& [trait, engines] : own_cleared_)
        erased +=
            std::erase_if(engines, [&, &name = trait](const auto& engine) {
                return !contains(listed_by_peers_, name, engine);
            });
    erase_empty(own_cleared_);
    if (erased > 0)
        combine_reports();
    expire_knowledge(now);
    std::erase_if(learned_crashes_, [&](const auto& one) {
        return one.second + options_.crash_ttl <= now;
    });
}

void crash_record::expire_knowledge(time_point now)
{
    for (auto& [trait, known] : knowledge_)
        std::erase_if(known.learned,
                      [&, &name = trait, &known = known](const auto& one) {
                          if (contains(open_, name, one.first))
                              return false;
                          known.cleared_before = known.cleared_before ||
                                                 is_cleared(name, one.first);
                          return true;
                      });
    std::erase_if(knowledge_, [&](const auto& one) {
        return one.second.learned.empty() &&
               one.second.changed + options_.crash_ttl <= now;
    });
}

void crash_record::limit_size(time_point now)
{
    while (own_crashes_.size() > options_.max_traits) {
        auto oldest = own_crashes_.end();
        for (auto one = own_crashes_.begin(); one != own_crashes_.end(); ++one)
            if (!is_held(one->first, now) &&
                (oldest == own_crashes_.end() ||
                 one->second.begin()->second.recorded <
                     oldest->second.begin()->second.recorded))
                oldest = one;
        if (oldest == own_crashes_.end())
            return;
        own_crashes_.erase(oldest);
    }
}

} // namespace rosemarydeck
