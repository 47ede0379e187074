/** @file client_table_func.hpp Text tables for the terminal. */
#pragma once

#include <string>
#include <vector>

namespace rosemarydeck
{

/** Cells of a row, from left to right. */
using table_row = std::vector<std::string>;

/**
 * Formats a table.
 * @param column_names Cells of the first line.
 * @param rows Rows with as many cells as there are column names.
 * @return Lines with left-aligned columns, two spaces apart.
 */
std::string format_table(const table_row& column_names,
                         const std::vector<table_row>& rows);

} // namespace rosemarydeck
