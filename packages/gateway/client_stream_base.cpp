/** @file client_stream_base.cpp One client's connection, watched for its end.
 */
#include "gateway/client_stream_base.hpp"

#include "web/fiber_scheduler_base.hpp"
#include "web/socket_option_func.hpp"

#include <boost/asio/write.hpp>
#include <cstring>

namespace rosemarydeck
{

namespace
{

/** A client that acknowledges nothing for so long has vanished. */
constexpr auto dead_peer_limit = std::chrono::seconds(5);

} // namespace

client_stream::client_stream(boost::asio::ip::tcp::socket socket)
    : socket_(std::move(socket)), timer_(socket_.get_executor())
{
    watch_for_dead_peer(socket_, dead_peer_limit);
}

void client_stream::watch()
{
    if (reading_ || closed_)
        return;
    reading_ = true;
    socket_.async_read_some(
        boost::asio::buffer(chunk_),
        [self = shared_from_this()](const boost::system::error_code& fault,
                                    std::size_t bytes) {
            self->reading_ = false;
            if (fault)
                return self->ended();
            const auto space = self->buffer_.prepare(bytes);
            std::memcpy(space.data(), self->chunk_.data(), bytes);
            self->buffer_.commit(bytes);
            self->wake();
        });
}

void client_stream::ended()
{
    closed_ = true;
    if (on_closed_)
        on_closed_();
    wake();
}

void client_stream::wake()
{
    if (waiter_ == nullptr)
        return;
    auto* fiber = std::exchange(waiter_, nullptr);
    boost::fibers::context::active()->schedule(fiber);
}

bool client_stream::fill(duration timeout)
{
    const auto before = buffer_.size();
    timed_out_ = false;
    watch();
    if (closed_)
        return false;
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this(), turn = ++turn_](
                          const boost::system::error_code& stopped) {
        if (stopped || self->turn_ != turn || self->waiter_ == nullptr)
            return;
        self->timed_out_ = true;
        self->wake();
    });
    waiter_ = boost::fibers::context::active();
    waiter_->suspend();
    ++turn_;
    timer_.cancel();
    return buffer_.size() > before;
}

bool client_stream::write(const std::string& bytes, duration timeout)
{
    if (closed_)
        return false;
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this(), turn = ++turn_](
                          const boost::system::error_code& stopped) {
        if (!stopped && self->turn_ == turn)
            self->abort();
    });
    const auto done = await_io([&](auto handler) {
        boost::asio::async_write(socket_, boost::asio::buffer(bytes),
                                 std::move(handler));
    });
    ++turn_;
    timer_.cancel();
    if (done.fault)
        closed_ = true;
    return !done.fault;
}

void client_stream::on_closed(std::function<void()> handler)
{
    on_closed_ = std::move(handler);
}

void client_stream::close()
{
    boost::system::error_code ignored;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    socket_.close(ignored);
    closed_ = true;
}

void client_stream::linger(duration limit)
{
    boost::system::error_code ignored;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    runtime_clock clock;
    const auto until = clock.now() + limit;
    do {
        buffer_.consume(buffer_.size());
    } while (clock.now() < until && fill(until - clock.now()));
}

void client_stream::abort()
{
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
    closed_ = true;
}

} // namespace rosemarydeck
