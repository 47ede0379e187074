/** @file client_stream_base.hpp Buffered socket of one client connection. */
#pragma once

#include "common/time_type.hpp"
#include "router/link_load_base.hpp"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/fiber/context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace rosemarydeck
{

/**
 * Reads from a client's socket into a buffer in the background, to detect a
 * disconnect while the client's request is being served. Used by one fiber.
 */
class client_stream : public std::enable_shared_from_this<client_stream>
{
public:
    /** @param traffic Counts the bytes read and written; outlives this. */
    client_stream(boost::asio::ip::tcp::socket socket, link_traffic& traffic);

    /** @return Bytes that were read and not yet consumed. */
    boost::beast::flat_buffer& buffer() { return buffer_; }
    /** Starts a read in the background, unless one is pending. */
    void start_read();
    /** Waits for more bytes. @return False after a disconnect, an error or the
     *  time-out. */
    bool read_more(duration timeout);
    /** Writes all bytes; aborts the connection at the time-out.
     *  @return False if not all bytes could be written. */
    bool write(const std::string& bytes, duration timeout);
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
    /** Resumes the fiber that waits in read_more(), if any. */
    void wake();
    void handle_end();

    boost::asio::ip::tcp::socket socket_;
    link_traffic& traffic_;
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
};

} // namespace rosemarydeck
