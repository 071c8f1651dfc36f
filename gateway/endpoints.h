#ifndef CW_GATEWAY_ENDPOINTS_H
#define CW_GATEWAY_ENDPOINTS_H
/* HTTP endpoints besides the proxy: readiness of this host, lookup of the hosts that callers may use, metrics, and the
   requests under suspicion. */
#include <ev.h>

#include "../io/buffer.h"
#include "dialect.h"

typedef struct endpoints_t endpoints_t;

typedef struct endpoints_desc_t {
    struct ev_loop* loop;
    const dialect_t* dialect;
    const char* ready; /* listen addresses */
    const char* lookup;
    const char* metrics; /* "": no such endpoint */
    uint32_t max_age_ms; /* time for which a caller may cache a lookup response */
    bool (*is_ready)(void* user_data);
    uint32_t (*addresses)(void* user_data, const char* hall, const char** out, uint32_t max);
    void (*write_metrics)(void* user_data, cw_buffer_t* out);
    /* Writes the requests under suspicion as JSON. */
    void (*write_quarantine)(void* user_data, cw_buffer_t* out);
    /* Releases a request from suspicion; false: it is unknown. */
    bool (*release)(void* user_data, const char* fingerprint, const char* workspace);
    void* user_data;
} endpoints_desc_t;

endpoints_t* endpoints_setup(const endpoints_desc_t* desc, cw_error_t* err);
void endpoints_shutdown(endpoints_t* d);
void endpoints_set_max_age(endpoints_t* d, uint32_t max_age_ms);
/* Counts a completed request in the histograms by route and by workspace, and by outcome. Routes and workspaces beyond
   a fixed number are counted together as "other". */
void endpoints_count_request(endpoints_t* d, const char* route, const char* workspace, uint32_t outcome,
                             uint32_t first_ms, uint32_t took_ms);

#endif
