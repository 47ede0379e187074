/** @file crash_record_base.cpp Requests that crash the engines that run them.
 */
#include "router/crash_record_base.hpp"

#include "common/hash_func.hpp"

#include <array>
#include <cstdio>

namespace rosemarydeck
{

request_fingerprint fingerprint_of(const std::string& method,
                                   const std::string& target,
                                   const std::string& caller,
                                   const std::string& body)
{
    // Line breaks occur in none of the first three.
    const auto hash =
        stable_hash(method + '\n' + target + '\n' + caller + '\n' + body);
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(hash));
    return request_fingerprint(text.data());
}

crash_record::crash_record(crash_options options) : options_(options) {}

void crash_record::record_crash(const request_fingerprint& request,
                                const server_id& engine, time_point now)
{
    own_[request][engine] = now;
}

void crash_record::clear(const request_fingerprint& request)
{
    own_.erase(request);
}

void crash_record::replace_peer_crashes(const vm_id& vm, crashed_engines seen,
                                        time_point now)
{
    others_[vm] = {std::move(seen), now};
}

crashed_engines crash_record::own(time_point now)
{
    crashed_engines result;
    for (auto& [request, engines] : own_) {
        std::erase_if(engines, [&](const auto& one) {
            return one.second + options_.memory <= now;
        });
        for (const auto& [engine, time] : engines)
            result[request].insert(engine);
    }
    std::erase_if(own_, [](const auto& one) { return one.second.empty(); });
    return result;
}

std::set<request_fingerprint> crash_record::blocked(time_point now)
{
    auto seen = own(now);
    // A VM that is gone no longer withdraws what it saw.
    std::erase_if(others_, [&](const auto& one) {
        return one.second.heard + options_.memory <= now;
    });
    for (const auto& [vm, told] : others_)
        for (const auto& [request, engines] : told.seen)
            seen[request].insert(engines.begin(), engines.end());
    std::set<request_fingerprint> result;
    for (const auto& [request, engines] : seen)
        if (engines.size() >= options_.limit)
            result.insert(request);
    return result;
}

} // namespace rosemarydeck
