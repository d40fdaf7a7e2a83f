#include "Platform/document_view.h"

#include <algorithm>
#include <string>
#include <utility>

#include "Base/rendezvous.h"

namespace cowslip {

namespace {

uint64_t DigestOf(const DocumentName& name, ObjectVersion version) {
  return RendezvousScore(name.value(), std::to_string(version.value()));
}

}  // namespace

DocumentView::ReadId DocumentView::BeginRead() {
  m_reads.insert(++m_last_read);
  return m_last_read;
}

// Reads are linearizable: one that begins after a removal is known does not
// return the removed document.
void DocumentView::EndRead(ReadId read) {
  m_reads.erase(read);
  const ReadId oldest = m_reads.empty() ? m_last_read + 1 : *m_reads.begin();
  std::erase_if(m_removals, [&](const auto& removal) {
    return removal.second.last_read < oldest;
  });
}

DocumentView::ListingRange DocumentView::RangeOf(
    const std::vector<DocumentPage>& pages) {
  ListingRange listing;
  for (const DocumentPage& page : pages) {
    listing.push_back({.last = page.documents.empty()
                                   ? DocumentName()
                                   : page.documents.back().name,
                       .as_of = page.as_of});
  }
  return listing;
}

ObjectVersion DocumentView::ListedAsOf(const ListingRange& listing,
                                       const DocumentName& name) {
  const auto page =
      std::lower_bound(listing.begin(), listing.end() - 1, name,
                       [](const PageRange& range, const DocumentName& wanted) {
                         return range.last < wanted;
                       });
  return page->as_of;
}

bool DocumentView::IsOutdated(const DocumentName& name,
                              ObjectVersion version) const {
  const auto known = m_versions.find(name);
  if (known != m_versions.end()) {
    return version <= known->second;
  }
  const auto removal = m_removals.find(name);
  if (removal != m_removals.end() && version <= removal->second.version) {
    return true;
  }
  return std::any_of(m_listings.begin(), m_listings.end(),
                     [&](const ListingRange& listing) {
                       return version <= ListedAsOf(listing, name);
                     });
}

void DocumentView::Set(const DocumentName& name, ObjectVersion version) {
  const auto [known, is_new] = m_versions.try_emplace(name, version);
  if (!is_new) {
    m_digest ^= DigestOf(name, known->second);
    known->second = version;
  }
  m_digest ^= DigestOf(name, version);
  m_removals.erase(name);
}

bool DocumentView::ApplyRemoval(const Document& document) {
  const auto known = m_versions.find(document.name);
  if (known != m_versions.end()) {
    if (document.version < known->second) {
      return false;
    }
    m_digest ^= DigestOf(document.name, known->second);
    m_versions.erase(known);
  }
  // The version is that of the removal, or of the last change before it.
  Removal& removal = m_removals[document.name];
  removal.version = std::max(removal.version, document.version);
  removal.last_read = m_last_read;
  return true;
}

bool DocumentView::ApplyChange(const DocumentChange& change) {
  const Document& document = change.document;
  if (change.removed) {
    return ApplyRemoval(document);
  }
  if (IsOutdated(document.name, document.version)) {
    return false;
  }
  Set(document.name, document.version);
  return true;
}

void DocumentView::AdvanceTo(ObjectVersion as_of) {
  m_as_of = std::max(m_as_of, as_of);
}

std::vector<DocumentChange> DocumentView::ApplyListing(
    std::vector<DocumentPage> pages) {
  ListingRange listing = RangeOf(pages);
  std::vector<DocumentChange> changes = RemoveUnlisted(pages, listing);
  for (DocumentPage& page : pages) {
    for (Document& document : page.documents) {
      if (!IsOutdated(document.name, document.version)) {
        Set(document.name, document.version);
        changes.push_back({.document = std::move(document)});
      }
    }
  }
  // Later pages may be of later versions, so a watch from the first page's
  // reports the changes in the documents of all pages.
  AdvanceTo(listing.front().as_of);
  KeepListing(std::move(listing));
  return changes;
}

std::vector<DocumentChange> DocumentView::RemoveUnlisted(
    const std::vector<DocumentPage>& pages,
    const ListingRange& listing) {
  std::set<DocumentName> listed;
  for (const DocumentPage& page : pages) {
    for (const Document& document : page.documents) {
      listed.insert(document.name);
    }
  }
  std::vector<DocumentChange> removals;
  for (const auto& [name, version] : m_versions) {
    if (!listed.contains(name) && version <= ListedAsOf(listing, name)) {
      removals.push_back(
          {.document = {.name = name, .version = version}, .removed = true});
      m_digest ^= DigestOf(name, version);
    }
  }
  for (const DocumentChange& removal : removals) {
    m_versions.erase(removal.document.name);
  }
  return removals;
}

void DocumentView::KeepListing(ListingRange listing) {
  std::erase_if(m_listings, [&](const ListingRange& known) {
    return known.back().as_of <= listing.front().as_of;
  });
  m_listings.push_back(std::move(listing));
}

}  // namespace cowslip
