/** @file overload_func.hpp Visitors for variants, made of lambdas. */
#pragma once

namespace rosemarydeck
{

/** Combines callables into one visitor. */
template <class... Callables>
struct overload : Callables...
{
    using Callables::operator()...;
};

template <class... Callables>
overload(Callables...) -> overload<Callables...>;

} // namespace rosemarydeck
