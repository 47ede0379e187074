/** @file stream_registry_base.cpp Where the streams that clients may take up
 *  began. */
#include "router/stream_registry_base.hpp"

#include "common/hash_func.hpp"

#include <algorithm>
#include <iterator>

namespace rosemarydeck
{

namespace
{

using origin_set = std::set<stream_origin>;

constexpr char hash_prefix = '#';

bool is_printable(char one)
{
    return one > ' ' && one <= '~';
}

} // namespace

stream_id stream_key(const std::string& client_id)
{
    if (client_id.size() <= max_stream_key_bytes &&
        std::all_of(client_id.begin(), client_id.end(), is_printable) &&
        !client_id.starts_with(hash_prefix))
        return stream_id(client_id);
    const auto hash = [&](const std::string& salt) {
        return std::to_string(stable_hash(salt + client_id));
    };
    return stream_id(hash_prefix + hash("1") + "-" + hash("2"));
}

stream_registry::stream_registry(stream_registry_options options)
    : options_(options)
{
}

std::shared_ptr<const origin_set> stream_registry::allowed() const
{
    const std::lock_guard lock(mutex_);
    return allowed_;
}

void stream_registry::record_begun(const stream_id& stream,
                                   const stream_origin& origin)
{
    if (stream.empty() || stream.value().size() > options_.max_id_bytes)
        return;
    const std::lock_guard lock(mutex_);
    const auto [known, added] =
        streams_.try_emplace(stream, stream_record{origin, std::nullopt});
    if (added)
        return;
    // Two streams with the same id: neither can be told from the other.
    if (known->second.origin != origin)
        streams_.erase(known);
    else
        known->second.broken_at.reset();
}

void stream_registry::record_ended(const stream_id& stream, bool whole,
                                   time_point now)
{
    const std::lock_guard lock(mutex_);
    const auto known = streams_.find(stream);
    if (known == streams_.end())
        return;
    if (whole)
        streams_.erase(known);
    else
        known->second.broken_at = now;
}

std::optional<stream_origin>
stream_registry::find(const stream_id& stream) const
{
    const std::lock_guard lock(mutex_);
    const auto known = streams_.find(stream);
    if (known == streams_.end())
        return std::nullopt;
    return known->second.origin;
}

void stream_registry::restore(const stream_report& own, time_point now)
{
    const std::lock_guard lock(mutex_);
    for (const auto& origin : own.origins)
        if (!listed_.count(origin))
            unlisted_since_[origin] = now;
    for (const auto& [stream, origin] : own.streams)
        streams_.try_emplace(stream, stream_record{origin, now});
}

void stream_registry::update_listed(origin_set listed, time_point now)
{
    const std::lock_guard lock(mutex_);
    for (const auto& origin : listed_)
        if (!listed.count(origin))
            unlisted_since_[origin] = now;
    listed_ = std::move(listed);
}

void stream_registry::replace_peers(std::map<vm_id, stream_report> reports)
{
    const std::lock_guard lock(mutex_);
    peers_ = std::move(reports);
}

void stream_registry::drop_expired(time_point now)
{
    const auto expired = [&](time_point since) {
        return now - since > options_.take_up_ttl;
    };
    std::erase_if(streams_, [&](const auto& one) {
        return one.second.broken_at && expired(*one.second.broken_at);
    });
    std::erase_if(unlisted_since_, [&](const auto& one) {
        return listed_.count(one.first) || expired(one.second);
    });
    while (streams_.size() > options_.max_streams) {
        // Open streams, which have no time, come last.
        const auto oldest = std::min_element(
            streams_.begin(), streams_.end(),
            [](const auto& left, const auto& right) {
                return left.second.broken_at.value_or(time_point::max()) <
                       right.second.broken_at.value_or(time_point::max());
            });
        streams_.erase(oldest);
    }
}

origin_set stream_registry::known_origins(const service_id& service) const
{
    origin_set result;
    const auto add = [&](const origin_set& origins) {
        std::copy_if(
            origins.begin(), origins.end(), std::inserter(result, result.end()),
            [&](const auto& origin) { return origin.service == service; });
    };
    add(listed_);
    if (published_)
        add(published_->origins);
    for (const auto& [vm, report] : peers_)
        add(report.origins);
    return result;
}

stream_report stream_registry::make_report(time_point now)
{
    drop_expired(now);
    stream_report report{listed_, {}};
    for (const auto& [origin, since] : unlisted_since_)
        report.origins.insert(origin);
    for (const auto& [stream, record] : streams_)
        report.origins.insert(record.origin);
    std::map<service_id, bool> several;
    for (const auto& [stream, record] : streams_) {
        const auto& service = record.origin.service;
        const auto [known, added] = several.try_emplace(service, false);
        if (added) {
            auto origins = known_origins(service);
            origins.insert(report.origins.begin(), report.origins.end());
            known->second = std::count_if(origins.begin(), origins.end(),
                                          [&](const auto& origin) {
                                              return origin.service == service;
                                          }) > 1;
        }
        if (known->second)
            report.streams.emplace(stream, record.origin);
    }
    return report;
}

std::optional<stream_report>
stream_registry::take_due_report(std::uint32_t vms, double writes_per_s,
                                 time_point now)
{
    const std::lock_guard lock(mutex_);
    auto report = make_report(now);
    if (published_ && published_->origins == report.origins) {
        const auto interval = std::max<duration>(
            options_.min_report_interval,
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(
                vms /
                (options_.max_write_share * std::max(1.0, writes_per_s)))));
        // Streams that have ended may stay in the entry.
        const bool unknown = std::any_of(
            report.streams.begin(), report.streams.end(), [&](const auto& one) {
                return !published_->streams.count(one.first);
            });
        if (!unknown || now - published_at_ < interval)
            return std::nullopt;
    }
    origin_set kept;
    std::set_intersection(allowed_->begin(), allowed_->end(),
                          report.origins.begin(), report.origins.end(),
                          std::inserter(kept, kept.end()));
    allowed_ = std::make_shared<origin_set>(std::move(kept));
    return report;
}

void stream_registry::record_published(const stream_report& report,
                                       time_point now)
{
    const std::lock_guard lock(mutex_);
    allowed_ = std::make_shared<origin_set>(report.origins);
    published_ = report;
    published_at_ = now;
}

std::optional<stream_origin>
stream_registry::resolve(const stream_id& stream,
                         const service_id& service) const
{
    const std::lock_guard lock(mutex_);
    const auto own = streams_.find(stream);
    if (own != streams_.end())
        return own->second.origin;
    for (const auto& [vm, report] : peers_) {
        const auto found = report.streams.find(stream);
        if (found != report.streams.end())
            return found->second;
    }
    const auto origins = known_origins(service);
    if (origins.size() != 1)
        return std::nullopt;
    return *origins.begin();
}

} // namespace rosemarydeck
