/** @file caller_service_base.cpp Caller connections and their threads. */
#include "web/caller_service_base.hpp"

#include "common/overload_func.hpp"
#include "web/fiber_scheduler_base.hpp"
#include "web/reply_func.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/all.hpp>
#include <nlohmann/json.hpp>

namespace rosemarydeck
{

namespace
{

using boost::asio::ip::tcp;

constexpr std::size_t max_kept_answer_bytes = 64 * 1'048'576;
constexpr std::size_t fiber_stack_size_bytes = 128 * 1024;
constexpr auto load_poll_interval = std::chrono::milliseconds(250);
constexpr auto load_poll_timeout = std::chrono::milliseconds(1000);

std::optional<load_report> parse_load(const std::string& text)
{
    try {
        return nlohmann::json::parse(text).get<load_report>();
    }
    catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

memory_limits limits_from(const settings& values)
{
    const auto capacity = static_cast<std::size_t>(values.caller_memory_bytes);
    auto limits = memory_limits_for(capacity * 2, 0);
    limits.max_clients = static_cast<std::size_t>(values.max_connections);
    return limits;
}

/** Reaches a session from other threads; used by the session's own one. */
struct session_link
{
    caller_session* session = nullptr;
};

template <class Body>
void start_fiber(Body body)
{
    boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg,
                         boost::fibers::fixedsize_stack(fiber_stack_size_bytes),
                         std::move(body))
        .detach();
}

} // namespace

caller_service::caller_service(const settings& values,
                               control_interface control)
    : values_(values), control_(std::move(control)),
      answers_(max_kept_answer_bytes),
      memory_(limits_from(values)), shared_{values_, control_, answers_,
                                            memory_, busy_sessions_}
{
}

caller_service::~caller_service()
{
    stop();
}

expected<std::uint16_t> caller_service::start()
{
    for (std::int64_t count = 0; count < values_.traffic_threads; ++count)
        threads_.push_back(std::make_unique<traffic_thread>());
    auto& first = threads_.front()->context;
    boost::system::error_code fault;
    const auto address = boost::asio::ip::make_address(values_.address, fault);
    const tcp::endpoint endpoint(
        address, static_cast<std::uint16_t>(values_.caller_port));
    acceptor_ = std::make_unique<tcp::acceptor>(first);
    if (!fault)
        acceptor_->open(endpoint.protocol(), fault);
    if (!fault)
        acceptor_->set_option(tcp::acceptor::reuse_address(true), fault);
    if (!fault)
        acceptor_->bind(endpoint, fault);
    if (!fault)
        acceptor_->listen(boost::asio::socket_base::max_listen_connections,
                          fault);
    if (fault)
        return tl::unexpected(
            error{error_code::unavailable, "listen for callers",
                  values_.address + ":" + std::to_string(values_.caller_port),
                  fault.message()});
    const auto port = acceptor_->local_endpoint().port();
    accept_next();
    for (auto& each : threads_)
        each->thread = std::thread([this, &each] { run_thread(*each); });
    return port;
}

void caller_service::run_thread(traffic_thread& traffic)
{
    boost::fibers::use_scheduling_algorithm<fiber_scheduler>(traffic.context);
    attempt_options options;
    options.operation_timeout =
        std::chrono::milliseconds(values_.attempt_timeout_ms);
    options.max_answer_bytes =
        static_cast<std::size_t>(values_.max_answer_bytes);
    traffic.attempts = std::make_unique<attempt_runner>(traffic.context,
                                                        options, control_.tell);
    if (&traffic == threads_.front().get())
        start_fiber([this, &traffic] { poll_loads(traffic); });
    traffic.stopped.take();
}

void caller_service::accept_next()
{
    const auto index = next_thread_++ % threads_.size();
    auto& target = *threads_[index];
    acceptor_->async_accept(
        target.context, [this, &target](const auto& fault, tcp::socket socket) {
            if (fault == boost::asio::error::operation_aborted || stopped_)
                return;
            if (!fault)
                on_accepted(target, std::move(socket));
            accept_next();
        });
}

void caller_service::on_accepted(traffic_thread& target, tcp::socket socket)
{
    const auto link = std::make_shared<session_link>();
    const auto close_session = [&target, link](bool) {
        boost::asio::post(target.context, [link] {
            if (link->session != nullptr)
                link->session->close_now();
        });
    };
    const auto holder =
        memory_.open(peer_kind::client, close_session, clock_.now());
    if (holder == 0)
        return; // Dropping the socket closes it.
    auto shared_socket = std::make_shared<tcp::socket>(std::move(socket));
    boost::asio::post(target.context, [this, &target, shared_socket, link,
                                       holder] {
        start_fiber([this, &target, shared_socket, link, holder] {
            caller_session session(target.context, std::move(*shared_socket),
                                   shared_, holder);
            link->session = &session;
            session.run();
            link->session = nullptr;
            memory_.close(holder);
        });
    });
}

void caller_service::act(const core_action& action)
{
    std::visit(
        overload{
            [&](const refuse_request& one) { end_without_answer(one.id, one); },
            [&](const issue_key& one) { end_without_answer(one.id, one); },
            [&](const relay_request& one) {
                end_without_answer(one.id,
                                   relay_to_peer{one.address, one.port});
            },
            [&](const join_request& one) {
                auto original = answers_.find(one.original);
                if (original)
                    end_without_answer(one.id, join_log{std::move(original)});
                else // The caller may retry after 500 ms.
                    end_without_answer(
                        one.id,
                        refuse_request{one.id, refusal_reason::key_in_use,
                                       ran_state::unknown, 500});
            },
            [&](const dispatch_attempt& one) { start_attempt(one); },
            [&](const finish_request& one) { finish(one); },
            [](const auto&) {}},
        action);
}

void caller_service::end_without_answer(request_id id, log_read_result result)
{
    const auto log = answers_.find(id);
    if (!log)
        return;
    log->end_without_answer(std::move(result));
    answers_.drop(id);
}

void caller_service::finish(const finish_request& finished)
{
    const auto log = answers_.find(finished.id);
    if (!log)
        return;
    log->finish();
    if (!finished.keep)
        return answers_.drop(finished.id);
    for (const auto evicted : answers_.keep(finished.id))
        control_.tell(answer_dropped{evicted});
}

void caller_service::start_attempt(const dispatch_attempt& dispatch)
{
    const auto log = answers_.find(dispatch.id);
    if (!log)
        return;
    auto& target = *threads_[dispatch.id.value() % threads_.size()];
    boost::asio::post(target.context, [&target, dispatch, log] {
        start_fiber(
            [&target, dispatch, log] { target.attempts->run(dispatch, log); });
    });
}

void caller_service::poll(std::vector<polled_server> servers)
{
    const std::lock_guard<std::mutex> lock(polled_mutex_);
    polled_servers_ = std::move(servers);
}

void caller_service::poll_loads(traffic_thread& traffic)
{
    auto client = std::make_shared<http_client>(traffic.context);
    while (!stopped_) {
        std::vector<polled_server> servers;
        {
            const std::lock_guard<std::mutex> lock(polled_mutex_);
            servers = polled_servers_;
        }
        for (const auto& each : servers)
            start_fiber([this, each, client] {
                http_request request;
                request.method(boost::beast::http::verb::get);
                request.target("/load");
                request.version(11);
                const auto reply = client->call(each.peer, std::move(request),
                                                load_poll_timeout);
                if (!reply || reply->result_int() != 200)
                    return;
                const auto load = parse_load(reply->body());
                if (load)
                    control_.tell(server_reported{each.server, *load});
            });
        fiber_sleep(traffic.context, load_poll_interval);
    }
}

void caller_service::stop_accepting()
{
    if (!acceptor_)
        return;
    boost::asio::post(threads_.front()->context, [this] {
        boost::system::error_code ignored;
        acceptor_->close(ignored);
    });
}

void caller_service::stop()
{
    if (stopped_.exchange(true))
        return;
    for (auto& each : threads_) {
        each->stopped.put(true);
        if (each->thread.joinable())
            each->thread.join();
    }
}

} // namespace rosemarydeck
