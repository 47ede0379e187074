/** @file client_stream_base.cpp Buffered socket of one client connection. */
#include "gateway/client_stream_base.hpp"

#include "web/fiber_scheduler_base.hpp"
#include "web/socket_option_func.hpp"

#include <boost/asio/write.hpp>
#include <cstring>

namespace rosemarydeck
{

namespace
{

/** A client that acknowledges nothing for this long counts as gone. */
constexpr auto dead_peer_timeout = std::chrono::seconds(5);

} // namespace

client_stream::client_stream(boost::asio::ip::tcp::socket socket,
                             link_traffic& traffic)
    : socket_(std::move(socket)), traffic_(traffic),
      timer_(socket_.get_executor())
{
    enable_dead_peer_detection(socket_, dead_peer_timeout);
}

void client_stream::start_read()
{
    if (read_pending_ || closed_)
        return;
    read_pending_ = true;
    socket_.async_read_some(
        boost::asio::buffer(read_chunk_),
        [self = shared_from_this()](const boost::system::error_code& fault,
                                    std::size_t bytes) {
            self->read_pending_ = false;
            self->traffic_.received += bytes;
            if (fault)
                return self->handle_end();
            const auto space = self->buffer_.prepare(bytes);
            std::memcpy(space.data(), self->read_chunk_.data(), bytes);
            self->buffer_.commit(bytes);
            self->wake();
        });
}

void client_stream::handle_end()
{
    closed_ = true;
    if (close_handler_)
        close_handler_();
    wake();
}

bool client_stream::detect_close()
{
    if (closed_)
        return true;
    boost::system::error_code fault;
    socket_.non_blocking(true, fault);
    char byte = 0;
    socket_.receive(boost::asio::buffer(&byte, 1),
                    boost::asio::socket_base::message_peek, fault);
    closed_ = fault && fault != boost::asio::error::would_block;
    return closed_;
}

void client_stream::wake()
{
    if (waiting_fiber_ == nullptr)
        return;
    auto* fiber = std::exchange(waiting_fiber_, nullptr);
    boost::fibers::context::active()->schedule(fiber);
}

bool client_stream::read_more(duration timeout)
{
    const auto size_before = buffer_.size();
    timed_out_ = false;
    start_read();
    if (closed_)
        return false;
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this(), operation = ++operation_](
                          const boost::system::error_code& stopped) {
        if (stopped || self->operation_ != operation ||
            self->waiting_fiber_ == nullptr)
            return;
        self->timed_out_ = true;
        self->wake();
    });
    waiting_fiber_ = boost::fibers::context::active();
    waiting_fiber_->suspend();
    ++operation_;
    timer_.cancel();
    return buffer_.size() > size_before;
}

bool client_stream::write(const std::string& bytes, duration timeout)
{
    if (closed_)
        return false;
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this(), operation = ++operation_](
                          const boost::system::error_code& stopped) {
        if (!stopped && self->operation_ == operation)
            self->abort();
    });
    const auto done = await_io([&](auto handler) {
        boost::asio::async_write(socket_, boost::asio::buffer(bytes),
                                 std::move(handler));
    });
    ++operation_;
    timer_.cancel();
    traffic_.sent += done.bytes;
    if (done.fault)
        closed_ = true;
    return !done.fault;
}

void client_stream::set_close_handler(std::function<void()> handler)
{
    close_handler_ = std::move(handler);
}

void client_stream::close()
{
    boost::system::error_code ignored;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    socket_.close(ignored);
    closed_ = true;
}

void client_stream::discard_input(duration timeout)
{
    boost::system::error_code ignored;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    runtime_clock clock;
    const auto deadline = clock.now() + timeout;
    do {
        buffer_.consume(buffer_.size());
    } while (clock.now() < deadline && read_more(deadline - clock.now()));
}

void client_stream::abort()
{
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
    closed_ = true;
}

} // namespace rosemarydeck
