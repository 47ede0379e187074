/** @file client_stream_base.hpp Buffered socket of one client connection. */
#pragma once

#include "common/time_type.hpp"
#include "router/link_load_base.hpp"
#include "router/memory_account_base.hpp"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/fiber/context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace rosemarydeck
{

/** Bytes that the kernel buffers for a client in each direction; no less than
 *  it does by default at first, since a full link makes round trips long. */
constexpr int client_buffer_bytes = 131'072;

/**
 * Reads from a client's socket into a buffer in the background, to detect a
 * disconnect while the client's request is being served. Charges the process's
 * account with the memory that the client makes it keep. Used by one fiber.
 */
class client_stream : public std::enable_shared_from_this<client_stream>
{
public:
    /** @param traffic Counts the bytes read and written; outlives this.
     *  @param memory The account; outlives this. */
    client_stream(boost::asio::io_context& io,
                  boost::asio::ip::tcp::socket socket, link_traffic& traffic,
                  memory_account& memory);
    ~client_stream();
    client_stream(const client_stream&) = delete;
    client_stream& operator=(const client_stream&) = delete;

    /** Enters the connection in the account, if need be in the place of
     *  another one. @return False if there is no room. */
    bool enter();
    /** Charges memory that is kept for this client. Connections that have to
     *  yield to it are given time to do so: suspends the fiber then.
     *  @return False if the memory must not be used. */
    bool charge(std::size_t bytes);
    /** @return Bytes charged by the last successful charge(). */
    [[nodiscard]] std::size_t charged() const { return charged_; }
    /** A customer's request is to be handled. @return False if the customer
     *  has its part of this VM. */
    bool begin_request(const customer_id& customer)
    {
        return memory_.begin_request(holder_, customer);
    }
    void end_request() { memory_.end_request(holder_); }
    void set_state(peer_state state);
    /** Sets what is sent if the connection is closed to make room for another
     *  while a request is being read. */
    void set_parting_answer(std::string text)
    {
        parting_answer_ = std::move(text);
    }
    /** Frees the buffer if it is empty and larger than most requests need. */
    void trim_buffer();

    /** @return Bytes that were read and not yet consumed. */
    boost::beast::flat_buffer& buffer() { return buffer_; }
    /** Starts a read in the background, unless one is pending. */
    void start_read();
    /** Waits for more bytes. @return False after a disconnect, an error or the
     *  time-out. */
    bool read_more(duration timeout);
    /** Writes all bytes; aborts the connection at the time-out.
     *  @return False if not all bytes could be written. */
    bool write(std::string_view bytes, duration timeout)
    {
        return write(bytes, {}, timeout);
    }
    /** The same for a head and a body. */
    bool write(std::string_view head, std::string_view body, duration timeout);
    /** Looks for a disconnect that has arrived and was not read yet.
     *  @return True if the connection has ended. */
    bool detect_close();
    /** Sets the handler that is called when a background read finds the
     *  connection ended; replaces the previous one. */
    void set_close_handler(std::function<void()> handler);

    /** @return True once either side has closed or reset the connection. */
    [[nodiscard]] bool closed() const { return closed_; }
    /** @return True if the last read_more() timed out. */
    [[nodiscard]] bool timed_out() const { return timed_out_; }
    /** @return True once the request being read has to yield its memory. */
    [[nodiscard]] bool yielded() const { return yielded_; }
    /** @return True while read_more() waits and the buffer is empty. */
    [[nodiscard]] bool is_idle() const
    {
        return waiting_fiber_ != nullptr && buffer_.size() == 0;
    }
    /** Closes the connection after the bytes written so far. */
    void close();
    /** Shuts down sending, then discards input until the client closes too or
     *  the time-out expires. A close with unread input would reset the
     *  connection, and the client could lose the last answer. */
    void discard_input(duration timeout);
    /** Resets the connection, so that the client does not take an unfinished
     *  answer for a complete one. */
    void abort();

private:
    /** Sets how much the kernel receives ahead for this connection. */
    void set_receive_buffer(int bytes);
    /** Resumes the fiber that waits in read_more(), if any. */
    void wake();
    void handle_end();
    /** Frees the memory kept for this client, or lets its fiber do so. */
    void yield(bool at_once);
    /** Sends the parting answer as far as that needs no waiting, and closes. */
    void close_with_answer();

    boost::asio::io_context& io_;
    boost::asio::ip::tcp::socket socket_;
    link_traffic& traffic_;
    memory_account& memory_;
    runtime_clock clock_;
    holder_id holder_ = 0;
    std::size_t charged_ = 0;
    peer_state state_ = peer_state::idle;
    std::string parting_answer_;
    boost::asio::steady_timer timer_;
    boost::beast::flat_buffer buffer_;
    std::array<char, 8'192> read_chunk_{};
    std::function<void()> close_handler_;
    boost::fibers::context* waiting_fiber_ = nullptr;
    /** Number of the last timed operation. A timer handler of an earlier one
     *  does nothing. */
    std::uint64_t operation_ = 0;
    bool read_pending_ = false;
    bool closed_ = false;
    bool timed_out_ = false;
    bool yielded_ = false;
    bool receives_little_ = false; ///< The receive buffer is small for now.
};

} // namespace rosemarydeck
