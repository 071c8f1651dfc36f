#ifndef CW_GATEWAY_METRICS_H
#define CW_GATEWAY_METRICS_H
/* The metrics of all modules of a host, in the text format of Prometheus. */
#include "exchange.h"
#include "frontend.h"
#include "mesh.h"
#include "quarantine.h"
#include "streams.h"
#include "sync.h"
#include "tunnel.h"
#include "upstream.h"

typedef struct metrics_modules_t {
    upstreams_t* upstreams;
    quarantine_t* quarantine;
    streams_t* streams;
    exchanges_t* exchanges;
    frontend_t* front;
    sync_t* sync;
    mesh_t* mesh;
    tunnels_t* tunnels;
    unsigned long log_lines_dropped;
} metrics_modules_t;

void metrics_write(const metrics_modules_t* m, cw_buffer_t* out);

#endif
