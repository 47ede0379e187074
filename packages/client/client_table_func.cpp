/** @file client_table_func.cpp Text tables for the terminal. */
#include "client/client_table_func.hpp"

#include <algorithm>

namespace rosemarydeck
{

namespace
{

std::string format_row(const table_row& row,
                       const std::vector<std::size_t>& widths)
{
    std::string line;
    for (std::size_t column = 0; column < row.size(); ++column) {
        line += row[column];
        if (column + 1 < row.size())
            line += std::string(widths[column] - row[column].size() + 2, ' ');
    }
    return line + "\n";
}

} // namespace

std::string format_table(const table_row& column_names,
                         const std::vector<table_row>& rows)
{
    std::vector<std::size_t> widths;
    for (const auto& cell : column_names)
        widths.push_back(cell.size());
    for (const auto& row : rows)
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    std::string text = format_row(column_names, widths);
    for (const auto& row : rows)
        text += format_row(row, widths);
    return text;
}

} // namespace rosemarydeck
