#pragma once

#include <curl/curl.h>

#include <memory>

namespace sagechute::net {

struct EasyDeleter {
    void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};
using EasyHandle = std::unique_ptr<CURL, EasyDeleter>;

struct MultiDeleter {
    void operator()(CURLM* handle) const { curl_multi_cleanup(handle); }
};
using MultiHandle = std::unique_ptr<CURLM, MultiDeleter>;

struct HeaderListDeleter {
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using HeaderList = std::unique_ptr<curl_slist, HeaderListDeleter>;

} // namespace sagechute::net
