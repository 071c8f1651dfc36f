#ifndef CW_GATEWAY_MESH_H
#define CW_GATEWAY_MESH_H
/*
    The other daemons: who lives (chalkway_member.h over the peer address), and through news.h what they have at the
    servers. All hosts of a cluster use the same ports.
*/
#include "../chalkway_log.h"
#include "../chalkway_member.h"
#include "news.h"
#include "settings.h"
#include "upstream.h"

typedef struct mesh_t mesh_t;

typedef struct mesh_desc_t {
    struct ev_loop* loop;
    const cw_log_t* log;
    const gateway_settings_t* settings;
    upstreams_t* upstreams;
    /* What this daemon knows of the source, told with every datagram. */
    cw_knowledge_t (*knowledge)(void* user_data);
    /* What a peer knows; share: address at which it can be read. */
    void (*on_knowledge)(void* user_data, const char* share, bool far, const cw_knowledge_t* knowledge);
    /* Members changed: daemons is the most that were known at once, rank this one's place among those that live. */
    void (*on_members)(void* user_data, uint32_t daemons, uint32_t rank);
    /* Marks of requests under which servers end, as in news_desc_t. */
    void (*on_mark)(void* user_data, const cw_mark_t* mark);
    uint32_t (*marks)(void* user_data, uint32_t* at, cw_mark_t* out, uint32_t max);
    void* user_data;
} mesh_desc_t;

typedef struct mesh_stats_t {
    uint32_t known, live;
    news_stats_t news;
} mesh_stats_t;

mesh_t* mesh_setup(const mesh_desc_t* desc, cw_error_t* err);
void mesh_shutdown(mesh_t* m);
/* The own load at the server changed; work: what was just sent there, NULL: something ended. */
void mesh_on_load(mesh_t* m, const server_t* server, const cw_work_t* work);
/* Whether the server lives is news: all are told at once. */
void mesh_on_life(mesh_t* m, const server_t* server);
/* A mark that is new: all are told at once. */
void mesh_on_mark(mesh_t* m, const cw_mark_t* mark);
/* Tells the peers that the server keeps these parts of prompts. */
void mesh_tell_kept(mesh_t* m, const server_t* server, const cw_work_part_t* parts, uint32_t count);
/* Whether this host is the one among those that live to which the key falls, in an order that all see alike. */
bool mesh_is_mine(const mesh_t* m, uint64_t key);
/* Whether this host has learned of no new one for a while: the more it knows, the longer others may be missing. */
bool mesh_is_settled(const mesh_t* m, int64_t now_ms);
/* What others are told of this host. */
void mesh_announce(mesh_t* m, int64_t revision, uint32_t room);
/* This host leaves: others stop naming it. */
void mesh_leave(mesh_t* m);
void mesh_tick(mesh_t* m, int64_t now_ms);
/* Addresses for callers of the hosts that live, those of the hall first where it has enough; returns their number. */
uint32_t mesh_callers_addresses(const mesh_t* m, const char* hall, bool with_self, const char** out, uint32_t max);
mesh_stats_t mesh_stats(const mesh_t* m);

#endif
