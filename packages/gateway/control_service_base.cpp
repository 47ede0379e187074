/** @file control_service_base.cpp Follows the store for this VM. */
#include "gateway/control_service_base.hpp"

#include "platform/platform_config_func.hpp"
#include "web/fiber_scheduler_base.hpp"

#include <boost/fiber/all.hpp>
#include <fstream>

namespace rosemarydeck
{

namespace
{

/** Longest that a watch stays open; each one is a call with a price. */
constexpr auto watch_wait = std::chrono::milliseconds(20'000);
constexpr auto retry_pause = std::chrono::milliseconds(100);
constexpr auto lapse_check = std::chrono::milliseconds(200);

/** @return The kernel's name for this start of the VM; empty if it has none.
 */
std::string boot_name()
{
    std::ifstream file("/proc/sys/kernel/random/boot_id");
    std::string name;
    std::getline(file, name);
    return name;
}

ledger_keeper_options keeper_options(const control_options& options)
{
    ledger_keeper_options result;
    result.self = options.self;
    result.member.vm = options.settings.vm;
    result.member.address = options.settings.control.text();
    result.member.boot = boot_name();
    return result;
}

} // namespace

control_service::control_service(boost::asio::io_context& io,
                                 control_options options, wallet& purse,
                                 event_log& log, gateway_metrics& metrics)
    : io_(io), options_(std::move(options)), purse_(purse), log_(log),
      metrics_(metrics), store_(io, options_.settings.store, log, metrics),
      keeper_(keeper_options(options_), purse), renew_timer_(io)
{
}

void control_service::start()
{
    using boost::fibers::fiber;
    using boost::fibers::launch;
    fiber(launch::post, [this] { follow(platform::config_kind); }).detach();
    fiber(launch::post, [this] { follow(platform::engine_kind); }).detach();
    fiber(launch::post, [this] { keep_budgets(); }).detach();
    fiber(launch::post, [this] { drop_lapsed(); }).detach();
}

bool control_service::ready() const
{
    return !closing_ && config_ && engines_known_ && keeper_.joined();
}

void control_service::follow(const std::string& kind)
{
    std::uint64_t revision = 0;
    bool loaded = false;
    while (true) {
        const bool good = loaded ? watch(kind, revision) : load(kind, revision);
        if (good) {
            loaded = true;
            continue;
        }
        // A watch that was refused for lost history starts over by a list.
        loaded = loaded && revision != 0;
        fiber_sleep(io_, retry_pause);
    }
}

bool control_service::load(const std::string& kind, std::uint64_t& revision)
{
    std::vector<platform::store_event> events;
    std::string after;
    while (true) {
        const auto turn = store_.await_turn();
        const auto reply = store_.call(platform::list_call(kind, after));
        if (!reply)
            return false;
        const auto page = platform::decode_list(reply->status, reply->body);
        if (!page)
            return false;
        for (const auto& object : page->objects)
            events.push_back({object, false});
        revision = after.empty() ? page->revision : revision;
        if (!page->more || page->objects.empty())
            break;
        after = page->objects.back().name;
    }
    if (kind == platform::engine_kind) {
        std::vector<engine_info> listed;
        for (const auto& event : events) {
            const auto engine =
                platform::decode_engine(event.object.name, event.object.spec);
            if (engine)
                listed.push_back(*engine);
        }
        if (std::exchange(seen_recoveries_, store_.recoveries()) !=
            store_.recoveries())
            directory_.outage_ended(clock_.now());
        directory_.replace(listed, clock_.now());
        engines_known_ = true;
        log_.write("engines_listed", {{"engines", listed.size()},
                                      {"entries", events.size()},
                                      {"revision", revision}});
    }
    apply(kind, events);
    return true;
}

bool control_service::watch(const std::string& kind, std::uint64_t& revision)
{
    const auto turn = store_.await_turn();
    const auto wait =
        turn.owns_lock() ? std::chrono::milliseconds(0) : watch_wait;
    const auto reply =
        store_.call(platform::watch_call(kind, revision, wait), wait);
    if (!reply)
        return false;
    const auto changes = platform::decode_changes(reply->status, reply->body);
    if (!changes) {
        if (changes.error().code == error_code::not_found)
            revision = 0;
        return false;
    }
    if (kind == platform::engine_kind &&
        std::exchange(seen_recoveries_, store_.recoveries()) !=
            store_.recoveries())
        directory_.outage_ended(clock_.now());
    revision = changes->revision;
    apply(kind, changes->events);
    return true;
}

void control_service::apply(const std::string& kind,
                            const std::vector<platform::store_event>& events)
{
    for (const auto& event : events) {
        if (kind == platform::engine_kind)
            apply_engine(event);
        else if (event.object.name == platform::config_name && !event.removed)
            apply_config(event.object);
    }
    if (!events.empty())
        publish();
}

void control_service::apply_config(const platform::store_object& object)
{
    auto decoded = platform::decode_config(object.spec);
    if (!decoded) {
        log_.write("config_unreadable", {{"revision", object.revision},
                                         {"why", describe(decoded.error())}});
        return;
    }
    if (config_ && decoded->version <= config_->config().version)
        return;
    metrics_.add(counter::config_changes);
    log_.write("config_in_force",
               {{"version", decoded->version},
                {"before", config_ ? config_->config().version : 0},
                {"revision", object.revision},
                {"routes", decoded->routes.size()},
                {"customers", decoded->customers.size()}});
    const bool first = !config_;
    config_ = std::make_shared<config_index>(*std::move(decoded));
    if (first)
        renew_soon();
}

void control_service::apply_engine(const platform::store_event& event)
{
    const auto& object = event.object;
    const server_id id(object.name);
    auto engine = event.removed
                      ? std::nullopt
                      : platform::decode_engine(object.name, object.spec);
    if (!engine) {
        log_.write("engine_gone", {{"engine", object.name},
                                   {"removed", event.removed ? 1 : 0},
                                   {"revision", object.revision}});
        directory_.erase(id, clock_.now());
        return;
    }
    engine->draining = engine->draining || object.deleting;
    log_.write("engine_listed", {{"engine", object.name},
                                 {"service", engine->service.value()},
                                 {"address", engine->endpoint()},
                                 {"draining", engine->draining ? 1 : 0},
                                 {"born", engine->born},
                                 {"revision", object.revision}});
    directory_.put(*std::move(engine));
}

void control_service::drop_lapsed()
{
    while (true) {
        fiber_sleep(io_, lapse_check);
        if (directory_.expire(clock_.now()))
            publish();
        log_.flush();
    }
}

void control_service::publish()
{
    auto view = std::make_shared<fleet_view>();
    view->config = config_;
    view->engines = directory_.usable();
    // So much for each cell: then the VMs' parts of the fleet's bounds add up
    // to the whole, however many VMs the other cells have.
    view->live_vms = keeper_.live_vms() * (layout_ ? layout_->cells : 1);
    view->blocked = blocked_;
    view->suspected = suspected_;
    options_.publish(std::move(view));
}

} // namespace rosemarydeck
