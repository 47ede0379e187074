/** @file overload_func.hpp Visitors for variants, built from lambdas. */
#pragma once

namespace rosemarydeck
{

/** Joins several callables into one visitor. */
template <class... Callables>
struct overload : Callables...
{
    using Callables::operator()...;
};

template <class... Callables>
overload(Callables...) -> overload<Callables...>;

} // namespace rosemarydeck
