/** @file fiber_slot_base.hpp A value passed from a thread to a fiber. */
#pragma once

#include <boost/fiber/condition_variable.hpp>
#include <mutex>
#include <optional>
#include <utility>

namespace rosemarydeck
{

/** A one-time value: set by any thread, awaited by one fiber. */
template <class Value>
class fiber_slot
{
public:
    /** Sets the value and wakes the fiber; later values are ignored. */
    void put(Value value)
    {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            if (!value_)
                value_ = std::move(value);
        }
        filled_.notify_all();
    }

    /** Suspends the fiber until the value is set. @return The value. */
    Value take()
    {
        std::unique_lock<std::mutex> lock(mutex_);
        filled_.wait(lock, [this] { return value_.has_value(); });
        return std::move(*value_);
    }

private:
    std::mutex mutex_;
    boost::fibers::condition_variable_any filled_;
    std::optional<Value> value_;
};

} // namespace rosemarydeck
