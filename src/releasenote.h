// Parser of release notes.
#pragma once

#include "config.h"
#include "messages.h"

#include <string_view>

namespace endivewharf {

/// Parses and checks a release note:
///
///     [note]
///     id = 2027-03-quotes
///     by = 2027-03-01T06:00:00Z     or: within = 10m
///     [change awning-quotes]
///     to = v2
///
/// @param Text INI text
/// @param File file name for error messages
/// @return the note with `BaseVersion_` unset, or all errors found
tl::expected<ReleaseNoteRecord, FileErrors>
parseReleaseNote(std::string_view Text, std::string_view File);

} // namespace endivewharf
