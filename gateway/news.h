#ifndef CW_GATEWAY_NEWS_H
#define CW_GATEWAY_NEWS_H
/*
    News between daemons: what each has at the servers, and what it knows of the source (chalkway_load.h datagrams over
    the load address). Who tells whom and how often follows from the number of hosts, see chalkway_relay.h.
*/
#include "../chalkway_load.h"
#include "../chalkway_member.h"
#include "../chalkway_relay.h"
#include "settings.h"
#include "upstream.h"

typedef struct news_t news_t;

typedef struct news_desc_t {
    struct ev_loop* loop;
    const gateway_settings_t* settings;
    upstreams_t* upstreams;
    uint64_t host; /* own id */
    /* What this daemon knows of the source, told with every datagram. */
    cw_knowledge_t (*knowledge)(void* user_data);
    /* What a peer knows; share: address at which it can be read. */
    void (*on_knowledge)(void* user_data, const char* share, bool far, const cw_knowledge_t* knowledge);
    /* A mark that another daemon told; age_ms counts until now. May be NULL. */
    void (*on_mark)(void* user_data, const cw_mark_t* mark);
    /* Marks to be told again, from place *at on, which is 0 behind the last one. May be NULL. */
    uint32_t (*marks)(void* user_data, uint32_t* at, cw_mark_t* out, uint32_t max);
    void* user_data;
} news_desc_t;

typedef struct news_stats_t {
    uint64_t out, in, refused; /* datagrams */
    uint64_t passed_on;        /* entries of other hosts that were told further */
    uint64_t unknown;          /* entries on servers, or lives of servers, that are not known here */
} news_stats_t;

news_t* news_setup(const news_desc_t* desc, cw_error_t* err);
void news_shutdown(news_t* n);
/* The members changed. They are read when the next news is sent, so they must outlive this. */
void news_set_members(news_t* n, const cw_members_t* members, uint32_t live, uint32_t rank);
/* A host has just come: all is told again with the next tick. */
void news_tell_all(news_t* n);
/* The own load at the server changed; work: what was just sent there, NULL: something ended. */
void news_on_load(news_t* n, const server_t* server, const cw_work_t* work);
/* Whether the server lives is news: told at once. */
void news_on_life(news_t* n, const server_t* server);
/* The server keeps these parts of prompts. */
void news_tell_kept(news_t* n, const server_t* server, const cw_work_part_t* parts, uint32_t count);
/* A mark that is new here: told at once. */
void news_on_mark(news_t* n, const cw_mark_t* mark);
void news_tick(news_t* n, int64_t now_ms);
news_stats_t news_stats(const news_t* n);

#endif
