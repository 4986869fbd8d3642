#ifndef TANAGERVANE_DOCUMENT_DIFF_H_
#define TANAGERVANE_DOCUMENT_DIFF_H_

#include <string>
#include <vector>

#include "tanagervane/document/document.h"

namespace tanagervane {

/// One value that differs. Paths identify list elements by name, for example
/// "classes[seal-ready].deadline_ms". Values are JSON; `before` is empty for an
/// added value and `after` for a removed one.
struct DocumentChange {
  std::string path;
  std::string before;
  std::string after;

  bool operator==(const DocumentChange&) const = default;
};

/// Returns the changes that turn `before` into `after`. Lists are compared by
/// element name; their order is not significant.
std::vector<DocumentChange> DiffDocuments(const Document& before,
                                          const Document& after);

}  // namespace tanagervane

#endif  // TANAGERVANE_DOCUMENT_DIFF_H_
