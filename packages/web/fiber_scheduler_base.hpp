/** @file fiber_scheduler_base.hpp Fiber scheduler on an Asio io_context. */
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>
#include <boost/system/error_code.hpp>

namespace rosemarydeck
{

/**
 * Runs the ready fibers of one thread in turn (round robin), and its
 * io_context whenever none is ready. An idle thread blocks in the io_context
 * without polling. Completion handlers run between fibers and must not wait
 * for a fiber.
 */
class fiber_scheduler final : public boost::fibers::algo::algorithm
{
public:
    /** @param context Run by this thread only; outlives the scheduler. */
    explicit fiber_scheduler(boost::asio::io_context& context);

    void awakened(boost::fibers::context* fiber) noexcept override;
    boost::fibers::context* pick_next() noexcept override;
    bool has_ready_fibers() const noexcept override;
    void suspend_until(
        std::chrono::steady_clock::time_point const& until) noexcept override;
    void notify() noexcept override;

private:
    boost::asio::io_context& context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work_;
    boost::asio::steady_timer timer_;
    boost::fibers::scheduler::ready_queue_type ready_;
};

/** Result of one asynchronous operation, with the bytes transferred. */
struct io_result
{
    boost::system::error_code fault;
    std::size_t bytes = 0;
};

/**
 * Starts an asynchronous operation and suspends the fiber until it completes.
 * @param start Starts the operation with the given completion handler.
 * @return Error code and bytes passed to the completion handler.
 */
template <class Start>
io_result await_io(Start start)
{
    io_result result;
    auto* self = boost::fibers::context::active();
    start([&result, self](const boost::system::error_code& fault,
                          std::size_t bytes = 0) {
        result = {fault, bytes};
        boost::fibers::context::active()->schedule(self);
    });
    self->suspend();
    return result;
}

/**
 * Suspends the calling fiber for `sleep_time`.
 * @param context The io_context of the fiber's thread.
 */
void fiber_sleep(boost::asio::io_context& context,
                 std::chrono::microseconds sleep_time);

} // namespace rosemarydeck
