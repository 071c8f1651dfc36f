#ifndef CW_GATEWAY_DIRECTORY_H
#define CW_GATEWAY_DIRECTORY_H
/* Answers that concern no request: whether this host is ready, which hosts callers may use, and the metrics. */
#include <ev.h>

#include "../io/buffer.h"
#include "dialect.h"

typedef struct directory_t directory_t;

typedef struct directory_desc_t {
    struct ev_loop* loop;
    const dialect_t* dialect;
    const char* ready; /* addresses */
    const char* lookup;
    const char* metrics; /* "" none */
    uint32_t keep_ms;    /* that a caller keeps a lookup answer */
    bool (*is_ready)(void* user_data);
    uint32_t (*addresses)(void* user_data, const char* hall, const char** out, uint32_t max);
    void (*write_metrics)(void* user_data, cw_buffer_t* out);
    /* The requests under suspicion as JSON, and the release of one: false when it isn't known. */
    void (*write_held)(void* user_data, cw_buffer_t* out);
    bool (*release)(void* user_data, const char* fingerprint, const char* workspace);
    void* user_data;
} directory_desc_t;

directory_t* directory_setup(const directory_desc_t* desc, cw_error_t* err);
void directory_shutdown(directory_t* d);
void directory_set_keep(directory_t* d, uint32_t keep_ms);
/* Counts a request that ended, for the histograms by route, workspace and outcome. Beyond a bound of kinds, routes and
   workspaces are counted together as "other". */
void directory_count(directory_t* d, const char* route, const char* workspace, uint32_t outcome, uint32_t first_ms,
                     uint32_t took_ms);

#endif
