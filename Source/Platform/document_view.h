#ifndef SOURCE_PLATFORM_DOCUMENT_VIEW_H_
#define SOURCE_PLATFORM_DOCUMENT_VIEW_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "Platform/document_store.h"

namespace cowslip {

/// \class DocumentView
/// \brief The newest known version of each document of a kind, merged from
/// listings and watches whose responses arrive late and in any order.
///
/// Each page of a listing is of one version of the store: it tells of each name
/// in its range what is true up to that version. A watch tells the version of
/// each change. Whatever is older than what is known of its name is left out,
/// so no document goes back to an older state.
class DocumentView {
 public:
  /// Names a listing or a watch whose response has not been applied yet.
  using ReadId = uint64_t;

  /// Call it before a listing or a watch begins, and EndRead() after its
  /// response was applied or its failure.
  ReadId BeginRead();
  void EndRead(ReadId read);

  /// Takes over a listing; returns how it differs from what was known.
  std::vector<DocumentChange> ApplyListing(std::vector<DocumentPage> pages);
  /// Takes over one change that a watch reports; returns whether it was
  /// unknown. A removal counts as such unless a newer version of the document
  /// is known.
  bool ApplyChange(const DocumentChange& change);
  /// Call it when a watch that reached up to this version was taken over.
  void AdvanceTo(ObjectVersion as_of);

  /// The version to watch from: all changes up to it are known, unless the
  /// store has dropped some silently.
  ObjectVersion as_of() const { return m_as_of; }
  /// A hash of the known documents and versions.
  uint64_t digest() const { return m_digest; }

 private:
  struct PageRange {
    // The last page reaches up to the end, whatever its last name.
    DocumentName last;
    ObjectVersion as_of;
  };
  // The pages of a listing, in order.
  using ListingRange = std::vector<PageRange>;
  struct Removal {
    ObjectVersion version;
    // The last read that had begun before the removal was known.
    ReadId last_read = 0;
  };

  static ListingRange RangeOf(const std::vector<DocumentPage>& pages);
  static ObjectVersion ListedAsOf(const ListingRange& listing,
                                  const DocumentName& name);
  /// True if something newer is known of the document than this version.
  bool IsOutdated(const DocumentName& name, ObjectVersion version) const;
  void Set(const DocumentName& name, ObjectVersion version);
  bool ApplyRemoval(const Document& document);
  std::vector<DocumentChange> RemoveUnlisted(
      const std::vector<DocumentPage>& pages,
      const ListingRange& listing);
  void KeepListing(ListingRange listing);

  ObjectVersion m_as_of;
  std::map<DocumentName, ObjectVersion> m_versions;
  // Removals that watches have reported, for as long as a read that began
  // before may still return the document.
  std::map<DocumentName, Removal> m_removals;
  // The newest listing, and others that are newer in some of their pages.
  std::vector<ListingRange> m_listings;
  std::set<ReadId> m_reads;
  ReadId m_last_read = 0;
  uint64_t m_digest = 0;
};

}  // namespace cowslip

#endif  // SOURCE_PLATFORM_DOCUMENT_VIEW_H_
