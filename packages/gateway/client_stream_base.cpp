/** @file client_stream_base.cpp Buffered socket of one client connection. */
#include "gateway/client_stream_base.hpp"

#include "web/fiber_scheduler_base.hpp"
#include "web/memory_charge_func.hpp"
#include "web/socket_option_func.hpp"

#include <boost/asio/write.hpp>
#include <cstring>

namespace rosemarydeck
{

namespace
{

/** A client that acknowledges nothing for this long counts as gone. */
constexpr auto dead_peer_timeout = std::chrono::seconds(5);
/** Capacity up to which an empty buffer is kept for the next request. */
constexpr std::size_t max_kept_buffer_bytes = 16'384;
constexpr int min_receive_buffer_bytes = 4'096;
constexpr std::size_t max_write_bytes = 65'536; ///< Of one call.

} // namespace

client_stream::client_stream(boost::asio::io_context& io,
                             boost::asio::ip::tcp::socket socket,
                             link_traffic& traffic, memory_account& memory)
    : io_(io), socket_(std::move(socket)), traffic_(traffic), memory_(memory),
      timer_(socket_.get_executor())
{
    enable_dead_peer_detection(socket_, dead_peer_timeout);
}

client_stream::~client_stream()
{
    memory_.close(holder_);
}

bool client_stream::enter()
{
    holder_ = memory_.open(
        peer_kind::client,
        [weak = weak_from_this()](bool at_once) {
            if (const auto self = weak.lock())
                self->yield(at_once);
        },
        clock_.now());
    return holder_ != 0;
}

bool client_stream::charge(std::size_t bytes)
{
    if (bytes == charged_)
        return true;
    if (!await_charge(io_, memory_, holder_, bytes, clock_,
                      [this] { return closed_ || yielded_; }))
        return false;
    charged_ = bytes;
    return true;
}

void client_stream::set_receive_buffer(int bytes)
{
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::socket_base::receive_buffer_size(bytes),
                       ignored);
    receives_little_ = bytes < client_buffer_bytes;
}

void client_stream::set_state(peer_state state)
{
    if (state == peer_state::idle && receives_little_)
        set_receive_buffer(client_buffer_bytes);
    state_ = state;
    memory_.set_state(holder_, state, clock_.now());
}

void client_stream::trim_buffer()
{
    if (buffer_.size() == 0 && buffer_.capacity() > max_kept_buffer_bytes)
        buffer_.shrink_to_fit();
}

void client_stream::yield(bool at_once)
{
    if (state_ == peer_state::reading && at_once)
        return close_with_answer();
    if (state_ == peer_state::idle)
        return close();
    if (state_ != peer_state::reading)
        return abort();
    yielded_ = true;
    wake();
}

void client_stream::close_with_answer()
{
    boost::system::error_code ignored;
    socket_.non_blocking(true, ignored);
    socket_.send(boost::asio::buffer(parting_answer_), 0, ignored);
    close();
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
            self->memory_.record_progress(self->holder_, bytes,
                                          self->clock_.now());
            // What a client sends behind a request that is handled stays in
            // the kernel, and is kept small there.
            if (self->state_ == peer_state::served && !self->receives_little_)
                self->set_receive_buffer(min_receive_buffer_bytes);
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
    if (closed_ || yielded_)
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

bool client_stream::write(std::string_view head, std::string_view body,
                          duration timeout)
{
    if (closed_)
        return false;
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this(), operation = ++operation_](
                          const boost::system::error_code& stopped) {
        if (!stopped && self->operation_ == operation)
            self->abort();
    });
    const auto state_before = state_;
    if (state_ != peer_state::refusing)
        set_state(peer_state::writing);
    std::size_t written = 0;
    const auto record = [&](const boost::system::error_code& fault,
                            std::size_t total) -> std::size_t {
        memory_.record_progress(holder_, total - std::exchange(written, total),
                                clock_.now());
        return fault ? 0 : max_write_bytes;
    };
    const std::array buffers{
        boost::asio::const_buffer(head.data(), head.size()),
        boost::asio::const_buffer(body.data(), body.size())};
    const auto done = await_io([&](auto handler) {
        boost::asio::async_write(socket_, buffers, record, std::move(handler));
    });
    ++operation_;
    timer_.cancel();
    set_state(state_before);
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
    yielded_ = false;
    const auto deadline = clock_.now() + timeout;
    do {
        buffer_.consume(buffer_.size());
        trim_buffer();
    } while (clock_.now() < deadline && read_more(deadline - clock_.now()));
}

void client_stream::abort()
{
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
    closed_ = true;
}

} // namespace rosemarydeck
