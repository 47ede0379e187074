/** @file control_config.cpp The configuration and whether it is the newest:
 *  from the store, or from another VM. */
#include "gateway/control_service_base.hpp"

#include "gateway/relay_header_type.hpp"
#include "platform/platform_config_func.hpp"
#include "web/fiber_scheduler_base.hpp"

#include <algorithm>
#include <boost/fiber/all.hpp>
#include <charconv>

namespace rosemarydeck
{

namespace
{

/** Interval at which a question to another VM may become due. */
constexpr auto config_poll_interval = std::chrono::milliseconds(100);
/** Time limit for connecting to a VM, and again for its answer. */
constexpr auto config_copy_timeout = std::chrono::milliseconds(400);
/** How long ago a VM that confirms for another one may have asked the store. */
constexpr auto confirm_within = milliseconds(500);

/** @return The number that a header field holds; none if it holds none. */
std::optional<std::uint64_t> number_in(boost::beast::string_view text)
{
    std::uint64_t number = 0;
    const auto end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, number);
    if (text.empty() || read.ec != std::errc() || read.ptr != end)
        return std::nullopt;
    return number;
}

} // namespace

void control_service::apply_config(const platform::store_object& object,
                                   const vm_id& from)
{
    const auto version = platform::config_version_of(object.spec);
    if (config_ && version && *version <= config_->config().version) {
        if (from.value().empty())
            knowledge_.record_unreadable(false);
        return;
    }
    auto decoded = platform::decode_config(object.spec);
    if (from.value().empty())
        knowledge_.record_unreadable(!decoded);
    if (!decoded) {
        knowledge_.record_version(version.value_or(0), from);
        log_.write("config_unreadable", {{"version", version.value_or(0)},
                                         {"revision", object.revision},
                                         {"why", describe(decoded.error())}});
        return;
    }
    metrics_.add(counter::config_changes);
    knowledge_.record_version(decoded->version, from);
    log_.write("config_in_force",
               {{"version", decoded->version},
                {"before", config_ ? config_->config().version : 0},
                {"revision", object.revision},
                {"routes", decoded->routes.size()},
                {"customers", decoded->customers.size()},
                {"from", from.value()}});
    for (const auto& fault : decoded->faults)
        log_.write("config_part_unreadable",
                   {{"version", decoded->version}, {"why", fault}});
    config_text_ = std::make_shared<const std::string>(object.spec.dump());
    const auto before = std::exchange(
        config_, std::make_shared<config_index>(*std::move(decoded)));
    if (before)
        renew_changed_budgets(before->config());
}

void control_service::check_config(std::shared_ptr<config_check> check)
{
    config_checks_.push_back(std::move(check));
    if (std::exchange(checking_config_, true))
        return;
    boost::fibers::fiber(boost::fibers::launch::post, [this] {
        answer_config_checks();
    }).detach();
}

void control_service::answer_config_checks()
{
    while (!config_checks_.empty()) {
        // One call answers all who asked before it.
        const auto checks = std::exchange(config_checks_, {});
        const auto asked_by_vm = [](const auto& check) {
            return check->from_vm;
        };
        // Two VMs without the store would wait for each other.
        const bool by_store =
            std::any_of(checks.begin(), checks.end(), asked_by_vm) &&
            read_config();
        const bool confirmed =
            by_store ||
            (!std::all_of(checks.begin(), checks.end(), asked_by_vm) &&
             confirm_config());
        for (const auto& check : checks) {
            if (by_store || (confirmed && !check->from_vm))
                check->confirmed_version = config_->config().version;
            check->done = true;
        }
    }
    checking_config_ = false;
}

bool control_service::confirm_config()
{
    if (!config_)
        return false;
    const auto& settings = options_.settings;
    const auto vms =
        confirmers_.choose(relays(), settings.vm, settings.data_centre,
                           !store_.down(), clock_.now());
    for (const auto& vm : vms) {
        if (ask_vm(vm, confirm_within))
            return true;
        confirmers_.record_failure(vm.vm, clock_.now());
    }
    return read_config();
}

bool control_service::read_config()
{
    if (store_.down())
        return false;
    const auto begin = boot_clock_.now();
    const auto reply = store_.call(platform::get_call(
        platform::config_kind, platform::config_name, false));
    if (!reply)
        return false;
    const auto object = platform::decode_object(reply->status, reply->body);
    if (!object || !*object)
        return false;
    const auto before = config_;
    apply_config(**object);
    if (config_ != before)
        publish_view();
    if (!config_ || knowledge_.evidence().unreadable ||
        platform::config_version_of((*object)->spec) !=
            config_->config().version)
        return false;
    knowledge_.record_confirmed(config_->config().version, begin, {});
    return true;
}

void control_service::report_config_version(std::uint64_t version,
                                            const vm_id& vm)
{
    const bool news = version > knowledge_.evidence().newest_version;
    config_poll_.record_version(version, vm);
    knowledge_.record_version(version, vm);
    // The store has it as well, and other VMs may be gone or cut off.
    if (news)
        check_config(std::make_shared<config_check>());
    boost::fibers::fiber(boost::fibers::launch::post, [this] {
        poll_config();
    }).detach();
}

void control_service::run_config_polls()
{
    while (true) {
        fiber_sleep(io_, config_poll_interval);
        poll_config();
    }
}

void control_service::poll_config()
{
    const auto own = config_ ? config_->config().version : 0;
    const auto peer =
        config_poll_.choose(relays(), own, !store_.down(), clock_.now());
    if (!peer)
        return;
    ask_vm(*peer, std::nullopt);
}

bool control_service::ask_vm(const relay_peer& peer,
                             std::optional<milliseconds> confirm_within)
{
    const auto own = config_ ? config_->config().version : 0;
    http_request request;
    request.method(boost::beast::http::verb::get);
    request.target(config_copy_path);
    request.version(11);
    request.keep_alive(false);
    request.set(relay_config_field, std::to_string(own));
    request.set(relay_vm_field, options_.settings.vm.value());
    if (confirm_within)
        request.set(relay_confirm_field,
                    std::to_string(confirm_within->count()));
    const auto begin = boot_clock_.now();
    const auto reply = peer_client_.call(
        {peer.address, peer.port}, std::move(request), config_copy_timeout);
    if (!reply)
        return false;
    if (reply->result_int() == 200) {
        platform::store_object object;
        object.name = platform::config_name;
        object.spec = nlohmann::json::parse(reply->body(), nullptr, false);
        const auto before = config_;
        apply_config(object, peer.vm);
        if (config_ != before)
            publish_view();
    }
    const auto version = number_in((*reply)[relay_config_field]);
    const auto age_ms = number_in((*reply)[relay_confirmed_field]);
    if (!config_ || version != config_->config().version || !age_ms)
        return false;
    knowledge_.record_confirmed(
        *version, begin - milliseconds(static_cast<std::int64_t>(*age_ms)),
        peer.vm);
    return knowledge_.may_deny(
        *version, max_denial_age(options_.settings.bounds), boot_clock_.now());
}

} // namespace rosemarydeck
