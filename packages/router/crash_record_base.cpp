/** @file crash_record_base.cpp Record of requests that crash engines. */
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
    // The first three contain no line breaks, so the joined text is
    // unambiguous.
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
    own_crashes_[request][engine] = now;
}

void crash_record::clear(const request_fingerprint& request)
{
    own_crashes_.erase(request);
}

void crash_record::replace_peer_crashes(const vm_id& vm,
                                        crashes_by_request crashes,
                                        time_point now)
{
    reports_[vm] = {std::move(crashes), now};
}

crashes_by_request crash_record::own(time_point now)
{
    crashes_by_request result;
    for (auto& [request, engines] : own_crashes_) {
        std::erase_if(engines, [&](const auto& one) {
            return one.second + options_.crash_ttl <= now;
        });
        for (const auto& [engine, time] : engines)
            result[request].insert(engine);
    }
    std::erase_if(own_crashes_,
                  [](const auto& one) { return one.second.empty(); });
    return result;
}

std::set<request_fingerprint> crash_record::blocked(time_point now)
{
    auto crashes = own(now);
    // The report of a VM that has ended is never withdrawn, so it expires.
    std::erase_if(reports_, [&](const auto& one) {
        return one.second.received + options_.crash_ttl <= now;
    });
    for (const auto& [vm, report] : reports_)
        for (const auto& [request, engines] : report.crashes)
            crashes[request].insert(engines.begin(), engines.end());
    std::set<request_fingerprint> result;
    for (const auto& [request, engines] : crashes)
        if (engines.size() >= options_.min_crashed_engines)
            result.insert(request);
    return result;
}

} // namespace rosemarydeck
