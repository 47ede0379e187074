/** @file control_service_base.cpp Control plane of one VM. */
#include "gateway/control_service_base.hpp"

#include "platform/platform_config_func.hpp"
#include "web/fiber_scheduler_base.hpp"

#include <boost/fiber/all.hpp>
#include <fstream>

namespace rosemarydeck
{

namespace
{

/** Largest copy of a configuration from another VM. The store's objects have
 *  1 MiB at most. */
constexpr std::uint64_t max_config_copy_bytes = 4'194'304;
/** Interval of expiry checks and log flushes. */
constexpr auto housekeeping_interval = std::chrono::milliseconds(200);

/** @return The kernel's id of this boot of the VM; empty if unreadable. */
std::string read_boot_id()
{
    std::ifstream file("/proc/sys/kernel/random/boot_id");
    std::string id;
    std::getline(file, id);
    return id;
}

} // namespace

control_service::control_service(boost::asio::io_context& io,
                                 control_options options, wallet& local_wallet,
                                 credit_pool& credit, stream_registry& streams,
                                 config_knowledge& knowledge,
                                 memory_account& memory, event_log& log,
                                 gateway_metrics& metrics)
    : io_(io), options_(std::move(options)), wallet_(local_wallet),
      streams_(streams), knowledge_(knowledge), log_(log), metrics_(metrics),
      intervals_(sync_intervals_for(options_.settings.bounds)),
      store_(io, options_.settings.store,
             {.object = options_.settings.vm.value(),
              .max_pause = intervals_.max_probe_pause,
              .max_silent_pause = intervals_.max_probe_pause / 2},
             log, metrics),
      peer_client_(io, {.max_answer_bytes = max_config_copy_bytes}),
      credit_service_(
          io,
          {.self = self(),
           .grant_credit =
               [this](const credit_request& request) {
                   return grant_credit(request);
               },
           .waiting_tokens =
               [this](const customer_id& customer) {
                   return wallet_.waiting(customer);
               },
           .cover_factor =
               [this](const customer_id& customer) {
                   const auto prepaid = prepaid_budget(customer);
                   return prepaid ? cover_factor(*prepaid,
                                                 wallet_.consumed(customer))
                                  : 1;
               },
           .record_usage =
               [this](const credit_usage& usage) {
                   wallet_.record_credit_usage(usage.customer, usage.tokens);
               },
           .record_consumed =
               [this](const customer_id& customer, token_count tokens) {
                   wallet_.record_consumed(customer, tokens);
               }},
          credit, memory, log, metrics),
      presence_({.self = options_.settings.vm}),
      own_presence_({.run = options_.self,
                     .data_centre = options_.settings.data_centre,
                     .address = options_.settings.control.address,
                     .port = options_.settings.control.port,
                     .relay_port = options_.settings.relay.port,
                     .cores = options_.settings.cores})
{
}

ledger_writer_options control_service::writer_options() const
{
    ledger_writer_options result;
    result.self = options_.self;
    result.member.vm = options_.settings.vm;
    result.member.boot = read_boot_id();
    result.started = started_;
    return result;
}

void control_service::start()
{
    using boost::fibers::fiber;
    using boost::fibers::launch;
    for (const auto* kind :
         {platform::config_kind, platform::engine_kind, platform::report_kind})
        follow(kind);
    if (options_.settings.bounds.evacuation_time)
        follow(platform::evacuation_kind);
    else
        evacuations_loaded_ = true;
    fiber(launch::post, [this] { start_budgets(); }).detach();
    fiber(launch::post, [this] { run_presence(); }).detach();
    fiber(launch::post, [this] { run_streams(); }).detach();
    fiber(launch::post, [this] { run_config_polls(); }).detach();
    fiber(launch::post, [this] { run_housekeeping(); }).detach();
}

bool control_service::update_rotation(bool overloaded, double utilization)
{
    auto& outside = own_presence_.out_of_rotation;
    if (overloaded == outside || closing_ ||
        (overloaded && !presence_.may_leave_rotation(
                           options_.settings.data_centre, clock_.now())))
        return outside;
    outside = overloaded;
    log_.write(outside ? "rotation_left" : "rotation_joined",
               {{"link_percent", static_cast<int>(utilization * 100)}});
    boost::fibers::fiber(boost::fibers::launch::post, [this] {
        send_heartbeat();
    }).detach();
    return outside;
}

bool control_service::ready() const
{
    if (own_presence_.out_of_rotation || closing_ || !config_ ||
        !engines_loaded_ || !evacuations_loaded_ || !reports_loaded_ ||
        !budgets_started_ || !streams_published_)
        return false;
    // A single shard grants headroom for all customers in advance. With more
    // of them, headroom comes from other VMs, so these must be known.
    return layout_->parts > 1 ? presence_.live_vms(clock_.now()) > 0
                              : shards_.at(0)->joined();
}

void control_service::replace_engines(const platform::store_list& list)
{
    std::vector<engine_info> listed;
    for (const auto& object : list.objects) {
        auto engine = platform::decode_engine(object.name, object.spec);
        if (!engine) {
            log_unreadable_engine(object, engine.error());
            continue;
        }
        engine->draining = engine->draining || object.deleting;
        listed.push_back(*std::move(engine));
    }
    if (store_.last_recovery())
        directory_.record_outage_end(*store_.last_recovery());
    directory_.replace(listed, clock_.now());
    engines_loaded_ = true;
    log_.write("engines_listed", {{"engines", listed.size()},
                                  {"entries", list.objects.size()},
                                  {"revision", list.revision}});
}

void control_service::apply(const std::string& kind,
                            const std::vector<platform::store_event>& events)
{
    for (const auto& event : events) {
        if (kind == platform::engine_kind)
            apply_engine(event);
        else if (kind == platform::evacuation_kind)
            apply_evacuation(event);
        else if (kind == platform::report_kind)
            apply_report(event);
        else if (event.object.name == platform::config_name && !event.removed)
            apply_config(event.object);
    }
    if (kind == platform::report_kind)
        update_blocked();
    if (!events.empty())
        publish_view();
}

void control_service::log_unreadable(
    const std::string& kind,
    const std::vector<platform::unreadable_object>& faults)
{
    for (const auto& fault : faults)
        log_.write("object_unreadable",
                   {{"kind", kind}, {"name", fault.name}, {"why", fault.why}});
}

void control_service::log_unreadable_engine(
    const platform::store_object& object, const error& fault)
{
    log_.write("engine_unreadable", {{"engine", object.name},
                                     {"revision", object.revision},
                                     {"why", fault.text}});
}

void control_service::apply_engine(const platform::store_event& event)
{
    const auto& object = event.object;
    const server_id id(object.name);
    const auto gone = [&] {
        log_.write("engine_gone", {{"engine", object.name},
                                   {"removed", event.removed ? 1 : 0},
                                   {"revision", object.revision}});
        directory_.erase(id, clock_.now());
    };
    if (event.removed)
        return gone();
    auto engine = platform::decode_engine(object.name, object.spec);
    if (!engine) {
        log_unreadable_engine(object, engine.error());
        return gone();
    }
    engine->draining = engine->draining || object.deleting;
    log_.write("engine_listed", {{"engine", object.name},
                                 {"service", engine->service.value()},
                                 {"address", engine->endpoint()},
                                 {"software", engine->software.value()},
                                 {"draining", engine->draining ? 1 : 0},
                                 {"born", engine->started_at_ms},
                                 {"revision", object.revision}});
    directory_.put(*std::move(engine), clock_.now());
}

void control_service::run_housekeeping()
{
    while (true) {
        fiber_sleep(io_, housekeeping_interval);
        if (directory_.expire(clock_.now()))
            publish_view();
        if (clock_.now() >= next_block_update_)
            update_blocked();
        drop_old_notices();
        withdraw_old_report();
        report_ages();
        log_.flush();
    }
}

void control_service::publish_view()
{
    auto view = std::make_shared<fleet_view>();
    view->config = config_;
    view->config_text = config_text_;
    view->engines = directory_.usable();
    streams_.update_listed(directory_.origins(), clock_.now());
    view->live_vms = presence_.live_vms(clock_.now());
    view->vm_rank = presence_.rank(clock_.now());
    view->relays = relays();
    view->notices = notices_.latest();
    if (config_)
        view->cold = directory_.cold(config_->config().services, clock_.now());
    view->blocked = blocked_;
    view->trials = trials_;
    view->suspected = suspected_;
    options_.publish(std::move(view));
}

} // namespace rosemarydeck
