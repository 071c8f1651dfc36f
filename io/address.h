#ifndef CW_IO_ADDRESS_H
#define CW_IO_ADDRESS_H
/* IPv4 addresses as text "IP:PORT". */
#include <netinet/in.h>

#include "../chalkway_core.h"

#define CW_ADDR_TEXT 48

/* Reads "IP:PORT"; CW_ERR_INVALID when it is none. */
cw_status_t cw_addr_parse(const char* text, struct sockaddr_in* out, cw_error_t* err);
/* Writes "IP:PORT". */
void cw_addr_format(const struct sockaddr_in* addr, char out[CW_ADDR_TEXT]);
/* Listens on a TCP address, port 0 for one that the kernel picks; returns the socket or -1. */
int cw_addr_listen(const char* text, char bound[CW_ADDR_TEXT], cw_error_t* err);
/* Binds a UDP socket; returns it or -1. */
int cw_addr_bind_udp(const char* text, cw_error_t* err);

#endif
